package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
