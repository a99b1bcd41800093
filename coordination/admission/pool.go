package admission

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// sliceFraction is the divisor of the burst that one grant adds at most to what
// was asked for. Chosen, not measured: eight nodes can hold a slice at once.
const sliceFraction = 8

// Slice is the part of a rate that one node may use until it expires.
type Slice struct {
	Tokens  float64
	Expires time.Time
	// RetryAfter is the pause after which to ask again; zero where tokens were
	// granted.
	RetryAfter time.Duration
}

// Pool hands out slices of rates to the nodes that use them. One node is the
// pool of a tenant at a time, by rendezvous hash among live nodes.
//
// Bound: a slice is taken from the bucket when it is granted and expires after
// the lifetime T. So in any window of w seconds all nodes together use at most
// rate*(w+T) + burst. A pool that takes over starts empty, so a move adds
// nothing to this. Pools on the two sides of a cut each grant only the
// fraction of configured nodes that they see, so disjoint sides stay within
// the same bound; until the cut is noticed only one pool can be reached by
// each node, and what that adds is at most rate times the time of detection.
// Nodes that reach no pool use Share's fallback, which adds at most rate *
// (nodes that fell back) / (nodes configured).
type Pool struct {
	lifetime time.Duration

	mutex    sync.Mutex
	fraction float64
	buckets  map[string]*pooledRate
}

type pooledRate struct {
	rate   limit.Rate
	bucket limit.Bucket
}

// NewPool makes a pool whose slices expire after the lifetime.
func NewPool(lifetime time.Duration) *Pool {
	return &Pool{lifetime: lifetime, fraction: 1, buckets: make(map[string]*pooledRate)}
}

// SetRate sets the rate of a name, a tenant or program. A name that is new
// starts with an empty bucket.
func (p *Pool) SetRate(name string, rate limit.Rate, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pooled, known := p.buckets[name]
	if !known {
		pooled = &pooledRate{bucket: limit.NewBucket(0, rate.Burst, now)}
		p.buckets[name] = pooled
	}
	pooled.rate = rate
	pooled.apply(p.fraction, now)
}

// SetVisible sets how many of the configured nodes this pool sees.
func (p *Pool) SetVisible(visible, configured int, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fraction = min(float64(visible)/float64(max(configured, 1)), 1)
	for _, pooled := range p.buckets {
		pooled.apply(p.fraction, now)
	}
}

// Forget drops a name that this node is no longer the pool of.
func (p *Pool) Forget(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.buckets, name)
}

// Grant gives a slice of at least the needed tokens, and some more so that a
// node needn't ask for every call. A name without a rate isn't limited.
func (p *Pool) Grant(name string, needed float64, now time.Time) Slice {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	expires := now.Add(p.lifetime)
	pooled, known := p.buckets[name]
	if !known {
		return Slice{Tokens: needed, Expires: expires}
	}
	if !pooled.bucket.Take(needed, now) {
		return Slice{RetryAfter: max(pooled.bucket.Wait(needed, now), minRetryAfter)}
	}
	more := pooled.bucket.TakeUpTo(pooled.rate.Burst/sliceFraction, now)
	return Slice{Tokens: needed + more, Expires: expires}
}

func (r *pooledRate) apply(fraction float64, now time.Time) {
	r.bucket.SetRate(r.rate.TokensPerSecond*fraction, r.rate.Burst*fraction, now)
}
