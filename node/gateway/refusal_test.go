package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

func TestRefusalOf(t *testing.T) {
	// The trust time of a table that isn't proved is 2.5 s and twice the slack: 3.9 s.
	const applyLimit, watchWait = 3 * time.Second, 2500 * time.Millisecond
	cases := []struct {
		name  string
		facts tableFreshness
		want  refusal
	}{
		{"nothing was heard", tableFreshness{}, refuseTemporarily},
		{"confirmed just now", tableFreshness{isConfirmed: true}, refusePermanently},
		{"confirmed before a held call", tableFreshness{isConfirmed: true, age: 3800 * time.Millisecond}, refusePermanently},
		{"confirmed too long ago", tableFreshness{isConfirmed: true, age: 3900 * time.Millisecond}, refuseTemporarily},
		{"the last call failed", tableFreshness{isConfirmed: true, lastCallFailed: true, age: 2900 * time.Millisecond}, refusePermanently},
		{"the last call failed, and changes are due", tableFreshness{isConfirmed: true, lastCallFailed: true, age: applyLimit}, refuseTemporarily},
		{"confirmed, but not proved", tableFreshness{needsProof: true, isConfirmed: true}, refuseTemporarily},
		{"proved just now", tableFreshness{needsProof: true, isProved: true}, refusePermanently},
		{"proved within the limit, the last call failed", tableFreshness{needsProof: true, isProved: true, lastCallFailed: true, staleness: 2900 * time.Millisecond}, refusePermanently},
		{"proved when changes are due", tableFreshness{needsProof: true, isProved: true, isConfirmed: true, staleness: applyLimit}, refuseTemporarily},
		{"proved, though no proof is needed", tableFreshness{isProved: true}, refuseTemporarily},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.facts.applyLimit, c.facts.watchWait = applyLimit, watchWait
			assert.Equal(t, decideRefusal(c.facts), c.want)
		})
	}
}

// TestNothingIsRefusedForGoodByAnOldConfiguration: a gateway that hears from nobody can't
// tell a path that nobody serves from a route that was added meanwhile. One that was to
// hear of changes within 2 s refused an added route for good 2.2 s after it had heard of
// anything.
func TestNothingIsRefusedForGoodByAnOldConfiguration(t *testing.T) {
	for _, limits := range []settings.Gateway{
		{UndisturbedTime: 3 * time.Second, ApplyLimit: 2 * time.Second},
		{UndisturbedTime: 5 * time.Second, ApplyLimit: 4 * time.Second},
	} {
		facts := tableFreshness{applyLimit: limits.ApplyLimit, watchWait: watchWait(limits.UndisturbedTime)}
		held := watchWait(limits.UndisturbedTime) + watchSlack
		assert.Assert(t, facts.maxConfirmationAge() > held, "calls are held for as long as that")
		facts.lastCallFailed = true
		assert.Equal(t, facts.maxConfirmationAge(), limits.ApplyLimit)
	}
}
