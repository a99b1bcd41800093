package node

import (
	"math/rand/v2"
	"time"
)

// backoff gives the pauses between tries that fail: they double from first to
// most, each drawn between half of it and the whole (equal jitter), so that
// nodes that failed at once don't try again at once.
type backoff struct {
	first  time.Duration
	most   time.Duration
	random *rand.Rand
	last   time.Duration
}

// next returns the pause after one more failure.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, b.first), b.most)
	half := b.last / 2
	return half + time.Duration(b.random.Int64N(int64(b.last-half)+1))
}

// reset is called after a success.
func (b *backoff) reset() { b.last = 0 }
