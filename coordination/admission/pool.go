package admission

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// slicesPerBurst limits the tokens that a grant adds to the requested ones to a
// fraction of the burst, so that this many nodes can hold a slice at once.
const slicesPerBurst = 8

// Lease is the part of a rate that one node may use until it expires.
type Lease struct {
	Tokens  float64
	Expires time.Time
	// RetryAfter is the delay before a retry; zero if tokens were granted.
	RetryAfter time.Duration
}

// Pool hands out slices of rates to the nodes that use them. One node is the
// pool of a tenant at a time, chosen by rendezvous hashing among the live nodes.
//
// A slice is taken from the token bucket when it is granted and expires after
// the lifetime T. In any window of w seconds all nodes together therefore use
// at most rate*(w+T) + burst. The bucket of a new pool starts empty, so moving
// a pool to another node adds nothing to this bound.
//
// In a network partition each pool grants only the fraction of the rate that
// corresponds to the fraction of configured nodes that it sees, so disjoint
// partitions stay within the same bound. Until the partition is detected, each
// node reaches only one pool, which adds at most rate times the detection time.
// Nodes that reach no pool use the fallback of NodeLimiter, which adds at most
// rate * (nodes in fallback) / (configured nodes).
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

// NewPool returns a pool whose slices expire after the lifetime.
func NewPool(lifetime time.Duration) *Pool {
	return &Pool{lifetime: lifetime, fraction: 1, buckets: make(map[string]*pooledRate)}
}

// SetRate sets the rate of a name, which is a tenant or program. A new name starts
// with an empty bucket.
func (p *Pool) SetRate(name string, rate limit.Rate, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pooled, known := p.buckets[name]
	if !known {
		pooled = &pooledRate{bucket: limit.NewBucket(0, rate.Burst, now)}
		p.buckets[name] = pooled
	}
	pooled.rate = rate
	pooled.updateBucket(p.fraction, now)
}

// SetVisibleNodes sets how many of the configured nodes are visible to this pool.
func (p *Pool) SetVisibleNodes(visible, configured int, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fraction = min(float64(visible)/float64(max(configured, 1)), 1)
	for _, pooled := range p.buckets {
		pooled.updateBucket(p.fraction, now)
	}
}

// Forget removes a name for which this node is no longer the pool.
func (p *Pool) Forget(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.buckets, name)
}

// Grant returns a slice with the needed tokens and some more, so that a node
// doesn't have to request a slice for every call. A name without a rate is
// unlimited.
func (p *Pool) Grant(name string, needed float64, now time.Time) Lease {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	expires := now.Add(p.lifetime)
	pooled, known := p.buckets[name]
	if !known {
		return Lease{Tokens: needed, Expires: expires}
	}
	if !pooled.bucket.Take(needed, now) {
		return Lease{RetryAfter: max(pooled.bucket.Wait(needed, now), minRetryAfter)}
	}
	more := pooled.bucket.TakeUpTo(pooled.rate.Burst/slicesPerBurst, now)
	return Lease{Tokens: needed + more, Expires: expires}
}

func (r *pooledRate) updateBucket(fraction float64, now time.Time) {
	r.bucket.SetRate(r.rate.TokensPerSecond*fraction, r.rate.Burst*fraction, now)
}
