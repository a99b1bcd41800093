package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

func TestDecideRefusal(t *testing.T) {
	// The greatest confirmation age is 3.9 s: watchWait and twice watchGrace.
	const applyLimit, watchWait = 3 * time.Second, 2500 * time.Millisecond
	cases := []struct {
		name  string
		table tableFreshness
		want  refusal
	}{
		{"no answer yet", tableFreshness{}, refuseTemporarily},
		{"confirmed just now", tableFreshness{isConfirmed: true}, refusePermanently},
		{"confirmed before a watch call", tableFreshness{isConfirmed: true, age: 3800 * time.Millisecond}, refusePermanently},
		{"confirmed too long ago", tableFreshness{isConfirmed: true, age: 3900 * time.Millisecond}, refuseTemporarily},
		{"the last call failed", tableFreshness{isConfirmed: true, lastCallFailed: true, age: 2900 * time.Millisecond}, refusePermanently},
		{"the last call failed, and changes must be applied", tableFreshness{isConfirmed: true, lastCallFailed: true, age: applyLimit}, refuseTemporarily},
		{"confirmed, but not proven", tableFreshness{needsProof: true, isConfirmed: true}, refuseTemporarily},
		{"proven just now", tableFreshness{needsProof: true, isProved: true}, refusePermanently},
		{"proven within the limit, the last call failed", tableFreshness{needsProof: true, isProved: true, lastCallFailed: true, staleness: 2900 * time.Millisecond}, refusePermanently},
		{"proven so long ago that changes must be applied", tableFreshness{needsProof: true, isProved: true, isConfirmed: true, staleness: applyLimit}, refuseTemporarily},
		{"a newer configuration is invalid", tableFreshness{isConfirmed: true, isNewerInvalid: true}, refuseTemporarily},
		{"proven, though no proof is needed", tableFreshness{isProved: true}, refuseTemporarily},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.table.applyLimit, c.table.watchWait = applyLimit, watchWait
			assert.Equal(t, decideRefusal(c.table), c.want)
		})
	}
}

// TestMaxConfirmationAge checks that a gateway without contact to the store does not
// permanently refuse a route that was added in the meantime.
func TestMaxConfirmationAge(t *testing.T) {
	for _, limits := range []settings.Gateway{
		{UndisturbedTime: 3 * time.Second, ApplyLimit: 2 * time.Second},
		{UndisturbedTime: 5 * time.Second, ApplyLimit: 4 * time.Second},
	} {
		table := tableFreshness{applyLimit: limits.ApplyLimit, watchWait: watchWait(limits.UndisturbedTime)}
		maxCallTime := watchWait(limits.UndisturbedTime) + watchGrace
		assert.Assert(t, table.maxConfirmationAge() > maxCallTime, "a watch call may take that long")
		table.lastCallFailed = true
		assert.Equal(t, table.maxConfirmationAge(), limits.ApplyLimit)
	}
}
