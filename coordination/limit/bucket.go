package limit

import (
	"time"
)

// Rate is a tenant's rate limit across all nodes. The caller defines what a token is, for
// example a request or a token of a model.
type Rate struct {
	// TokensPerSecond is the sustained rate.
	TokensPerSecond float64
	// Burst is the number of tokens that can be used at once after a pause.
	Burst float64
}

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate     float64
	burst    float64
	level    float64
	filledAt time.Time
}

// NewBucket returns an empty bucket that gains rate tokens per second, up to burst.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	return Bucket{rate: rate, burst: burst, filledAt: now}
}

// SetRate changes rate and burst as of now.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

// Add adds tokens, up to the burst.
func (b *Bucket) Add(tokens float64) {
	b.level = min(b.level+tokens, b.burst)
}

// Take removes the tokens if the bucket holds all of them, and reports whether it did.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// TakeUpTo removes up to the given number of tokens and returns how many it removed.
func (b *Bucket) TakeUpTo(tokens float64, now time.Time) float64 {
	b.refill(now)
	taken := min(tokens, b.level)
	b.level -= taken
	return taken
}

// Wait returns the time until the bucket holds the tokens, or the full burst if that is
// less. A bucket without a rate never fills; Wait then returns noRateWait.
func (b *Bucket) Wait(tokens float64, now time.Time) time.Duration {
	b.refill(now)
	missing := min(tokens, b.burst) - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return noRateWait
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// noRateWait is the wait for a bucket that never fills, short enough for a Retry-After
// header.
const noRateWait = time.Hour

// refill adds the tokens gained since the last call.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+b.rate*elapsed.Seconds(), b.burst)
	b.filledAt = now
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}
