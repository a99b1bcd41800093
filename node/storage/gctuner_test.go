package storage

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestGCPercent checks that a small live heap gets a high percentage, and that the heap
// stays within its fraction of the memory unless that needs less than the minimum.
func TestGCPercent(t *testing.T) {
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
		assert.Equal(t, gcPercent(c.live*mebibyte, c.limit*mebibyte), c.target, "%d MiB live, memory limit %d MiB", c.live, c.limit)
	}
}
