package streamorigin_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/streamorigin"
)

// TestOnlyRecordTellsWhereStreamBegan guards against a guess at the origin of a stream that
// has no record.
func TestOnlyRecordTellsWhereStreamBegan(t *testing.T) {
	for _, c := range []struct {
		name    string
		finding streamorigin.Finding
		want    streamorigin.Origin
		err     error
	}{
		{"on record", streamorigin.Finding{Known: true, Origin: v2}, v2, nil},
		{"on record, all have answered", streamorigin.Finding{Known: true, Origin: v2, Answered: true}, v2, nil},
		{"on record as uncertain", streamorigin.Finding{Known: true}, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"no record", streamorigin.Finding{Answered: true}, streamorigin.Origin{}, streamorigin.ErrUnknown},
		{"not all have answered", streamorigin.Finding{}, streamorigin.Origin{}, streamorigin.ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			origin, err := streamorigin.Decide(c.finding)
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, origin, c.want)
		})
	}
}
