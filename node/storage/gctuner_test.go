package storage

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCollectorTarget: little in use may grow to several times that, and never
// beyond its part of the memory but as the runtime does by itself.
func TestCollectorTarget(t *testing.T) {
	const mebibyte = 1 << 20
	for _, c := range []struct {
		live, limit uint64
		target      int
	}{
		{0, 324, 100},
		{4, 324, 400},
		{26, 324, 398},
		{50, 324, 159},
		{200, 324, 100},
		{4, 80, 400},
		{8, 80, 300},
		{30, 80, 100},
	} {
		assert.Equal(t, collectorTarget(c.live*mebibyte, c.limit*mebibyte), c.target, "%d MiB of %d in use", c.live, c.limit)
	}
}
