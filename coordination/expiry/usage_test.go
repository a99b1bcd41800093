package expiry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsageIsExpired checks the exact time after which a turn expires.
func TestUsageIsExpired(t *testing.T) {
	last := time.Unix(1000, 0)
	entry := usage{lastUsed: last, retention: time.Minute}
	end := last.Add(3*time.Minute + 30*time.Second)
	assert.Assert(t, !entry.isExpired(last))
	assert.Assert(t, !entry.isExpired(end))
	assert.Assert(t, entry.isExpired(end.Add(time.Nanosecond)))
}
