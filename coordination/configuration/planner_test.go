package configuration

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestReadPausesGrowAndReset compares the pauses between failed watches with the
// doubling that they are drawn from.
func TestReadPausesGrowAndReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(2, int64(time.Second)).Draw(t, "first"))
		most := first * time.Duration(rapid.Int64Range(1, 100).Draw(t, "factor"))
		seed := rapid.Uint64().Draw(t, "seed")
		settings := Settings{ReadPauseFirst: first, ReadPauseLast: most}
		p := newPlanner(settings, rand.New(rand.NewPCG(seed, seed)), 0)
		now := time.Unix(1000, 0)
		pause := func() time.Duration {
			p.readEnded(now)
			return p.nextRead.Sub(now)
		}
		whole := first
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			got := pause()
			assert.Assert(t, got >= whole/2 && got <= whole, "%v isn't between half of %v and the whole", got, whole)
			whole = min(2*whole, most)
		}
		p.readProgressed()
		assert.Assert(t, pause() <= first)
	})
}
