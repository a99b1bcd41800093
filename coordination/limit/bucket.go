package limit

import (
	"time"
)

// Rate is what a tenant may use over all nodes together. A token is whatever its user
// counts: a request for quotas, a model's token for tenants of marblering serve.
type Rate struct {
	// TokensPerSecond is the sustained use.
	TokensPerSecond float64
	// Burst is how many tokens may be used at once after a pause.
	Burst float64
}

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

// NewBucket makes an empty bucket that gains rate tokens a second up to burst.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	return Bucket{rate: rate, burst: burst, filled: now}
}

// SetRate changes rate and burst from now on.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

// Add puts tokens in, up to the burst.
func (b *Bucket) Add(tokens float64) {
	b.level = min(b.level+tokens, b.burst)
}

// Take removes the tokens if the bucket has them all.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.fill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// TakeUpTo removes at most the wanted tokens and returns how many.
func (b *Bucket) TakeUpTo(tokens float64, now time.Time) float64 {
	b.fill(now)
	taken := min(tokens, b.level)
	b.level -= taken
	return taken
}

// Wait returns the time until the bucket has the tokens. More than the burst counts as
// the burst. A bucket without a rate never fills: it returns forever.
func (b *Bucket) Wait(tokens float64, now time.Time) time.Duration {
	b.fill(now)
	missing := min(tokens, b.burst) - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return forever
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// forever is the pause of a bucket that never fills: long enough that nobody waits for
// it, short enough for a header.
const forever = time.Hour

// fill adds the tokens of the time since the last call.
func (b *Bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+b.rate*elapsed.Seconds(), b.burst)
	b.filled = now
}

// Level returns how many tokens there are.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}
