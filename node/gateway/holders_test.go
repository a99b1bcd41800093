package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

// TestHungCallIsNoticedBeforeTheLimitBinds again: a store that forgot a held call
// while it was disturbed has kept a configuration back, and once it has been well
// for the undisturbed time the gateway is answerable for using the newest.
func TestHungCallIsNoticedBeforeTheLimitBinds(t *testing.T) {
	for _, undisturbed := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		noticed := watchWait(undisturbed) + watchSlack
		assert.Assert(t, noticed+min(relistTime, undisturbed/10) <= undisturbed, "%s: noticed after %s", undisturbed, noticed)
	}
	assert.Equal(t, watchWait(0), leastWatchWait)
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
		assert.Equal(t, certainFor(limits, true), limits.ApplyLimit)
		held := watchWait(limits.UndisturbedTime) + watchSlack
		assert.Assert(t, certainFor(limits, false) > held, "calls are held for as long as that")
	}
}
