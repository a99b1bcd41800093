package storage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLostWayIsNoticedWithinTheApplyLimit: gateways that follow through a storage
// node are bound by the limit though only that node's way to the store is silent,
// and still have to list once they are told.
func TestLostWayIsNoticedWithinTheApplyLimit(t *testing.T) {
	for _, limit := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		bounds := mirrorBounds(limit)
		noticed := bounds.WatchWait + bounds.WatchSlack
		assert.Assert(t, bounds.WatchWait > 0 && bounds.WatchSlack > 0, "%s", limit)
		assert.Assert(t, noticed <= limit-min(limit/4, 300*time.Millisecond), "%s: noticed after %s", limit, noticed)
	}
}
