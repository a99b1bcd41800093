package storage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentStoreIsNoticedWithinApplyLimit guards against noticing a silent store too late for
// gateways to list the objects themselves within the apply limit.
func TestSilentStoreIsNoticedWithinApplyLimit(t *testing.T) {
	for _, limit := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		followSettings := boundedFollowSettings(limit)
		noticed := followSettings.WatchWait + followSettings.WatchGrace
		assert.Assert(t, followSettings.WatchWait > 0 && followSettings.WatchGrace > 0, "%s", limit)
		assert.Assert(t, noticed <= limit-min(limit/4, 300*time.Millisecond), "%s: noticed after %s", limit, noticed)
	}
}
