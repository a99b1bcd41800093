package streamorigin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/streamorigin"
)

// TestDecide checks that a stream without a record goes on only at a version that must have
// begun it.
func TestDecide(t *testing.T) {
	current := streamorigin.SoleVersion{Origin: v1, Known: true, For: lifetime, List: streamorigin.ListAge{Age: time.Second, Known: true}}
	with := func(change func(*streamorigin.SoleVersion)) streamorigin.SoleVersion {
		changed := current
		change(&changed)
		return changed
	}
	stale := with(func(s *streamorigin.SoleVersion) { s.List.Age = time.Minute })
	unproved := with(func(s *streamorigin.SoleVersion) { s.List.Known = false })
	young := with(func(s *streamorigin.SoleVersion) { s.For = lifetime - 1 })
	several := streamorigin.SoleVersion{List: current.List}
	absent, unanswered := streamorigin.Finding{Answered: true, Excluded: true}, streamorigin.Finding{}
	lost := streamorigin.Finding{Answered: true}
	for _, c := range []struct {
		name    string
		finding streamorigin.Finding
		sole    streamorigin.SoleVersion
		want    streamorigin.Origin
		err     error
	}{
		{"on record", streamorigin.Finding{Known: true, Origin: v2}, several, v2, nil},
		{"on record, other version alone here", streamorigin.Finding{Known: true, Origin: v2}, current, v2, nil},
		{"no record, several versions", absent, several, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"no answer, several versions", unanswered, several, streamorigin.Origin{}, streamorigin.ErrUnavailable},
		{"perhaps lost, several versions", lost, several, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"perhaps lost, one version", lost, current, v1, nil},
		{"perhaps lost, one version in an old list", lost, stale, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"no record, one version", absent, current, v1, nil},
		{"no record, one version in an old list", absent, stale, v1, nil},
		{"no record, one version for too short", absent, young, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"no answer, one version", unanswered, current, v1, nil},
		{"no answer, one version in an old list", unanswered, stale, streamorigin.Origin{}, streamorigin.ErrUnavailable},
		{"no answer, one version in an unproved list", unanswered, unproved, streamorigin.Origin{}, streamorigin.ErrUnavailable},
		{"no answer, one version for too short", unanswered, young, streamorigin.Origin{}, streamorigin.ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			origin, err := streamorigin.Decide(c.finding, c.sole, lifetime)
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, origin, c.want)
		})
	}
}
