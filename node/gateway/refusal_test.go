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
		facts tableFacts
		want  refusal
	}{
		{"nothing was heard", tableFacts{}, refuseForNow},
		{"confirmed just now", tableFacts{isConfirmed: true}, refuseForGood},
		{"confirmed before a held call", tableFacts{isConfirmed: true, age: 3800 * time.Millisecond}, refuseForGood},
		{"confirmed too long ago", tableFacts{isConfirmed: true, age: 3900 * time.Millisecond}, refuseForNow},
		{"the last call failed", tableFacts{isConfirmed: true, isLost: true, age: 2900 * time.Millisecond}, refuseForGood},
		{"the last call failed, and changes are due", tableFacts{isConfirmed: true, isLost: true, age: applyLimit}, refuseForNow},
		{"confirmed, but not proved", tableFacts{needsProof: true, isConfirmed: true}, refuseForNow},
		{"proved just now", tableFacts{needsProof: true, isProved: true}, refuseForGood},
		{"proved within the limit, the last call failed", tableFacts{needsProof: true, isProved: true, isLost: true, staleness: 2900 * time.Millisecond}, refuseForGood},
		{"proved when changes are due", tableFacts{needsProof: true, isProved: true, isConfirmed: true, staleness: applyLimit}, refuseForNow},
		{"proved, though no proof is needed", tableFacts{isProved: true}, refuseForNow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.facts.applyLimit, c.facts.watchWait = applyLimit, watchWait
			assert.Equal(t, refusalOf(c.facts), c.want)
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
		facts := tableFacts{applyLimit: limits.ApplyLimit, watchWait: watchWait(limits.UndisturbedTime)}
		held := watchWait(limits.UndisturbedTime) + watchSlack
		assert.Assert(t, facts.trustTime() > held, "calls are held for as long as that")
		facts.isLost = true
		assert.Equal(t, facts.trustTime(), limits.ApplyLimit)
	}
}
