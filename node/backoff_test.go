package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBackoffGrowsAndResets compares the pauses with the doubling that they are
// drawn from.
func TestBackoffGrowsAndResets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "first"))
		most := first * time.Duration(rapid.Int64Range(1, 100).Draw(t, "factor"))
		seed := rapid.Uint64().Draw(t, "seed")
		pauses := backoff{first: first, most: most, random: rand.New(rand.NewPCG(seed, seed))}
		whole := first
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			pause := pauses.next()
			assert.Assert(t, pause >= whole/2 && pause <= whole, "%v isn't between half of %v and the whole", pause, whole)
			whole = min(2*whole, most)
		}
		pauses.reset()
		assert.Assert(t, pauses.next() <= first)
	})
}
