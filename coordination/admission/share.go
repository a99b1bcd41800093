package admission

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Granter requests slices from the pool of a name. Grant returns false if no pool
// can be reached.
type Granter interface {
	Grant(name string, needed float64) (Lease, bool)
}

// NodeLimiter enforces the rates at one node: it spends slices and requests new ones.
type NodeLimiter struct {
	configured int

	mutex sync.Mutex
	names map[string]*nameShare
}

type nameShare struct {
	slice    Lease
	fallback limit.Bucket
}

// NewNodeLimiter returns the share of one node out of the configured number of nodes.
func NewNodeLimiter(configuredNodes int) *NodeLimiter {
	return &NodeLimiter{configured: max(configuredNodes, 1), names: make(map[string]*nameShare)}
}

// Use spends tokens of a name's rate. It returns zero if they were spent, or else
// the delay before a retry. If no pool can be reached, the node falls back to an
// equal part of the rate.
func (s *NodeLimiter) Use(name string, rate limit.Rate, tokens float64, granter Granter, now time.Time) time.Duration {
	if s.spend(name, rate, tokens, now) {
		return 0
	}
	slice, reached := granter.Grant(name, tokens)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share := s.getOrCreate(name, rate, now)
	if !reached {
		return share.spendFallback(tokens, now)
	}
	if slice.Tokens < tokens {
		return max(slice.RetryAfter, minRetryAfter)
	}
	share.merge(slice, now)
	share.slice.Tokens -= tokens
	return 0
}

func (s *NodeLimiter) spend(name string, rate limit.Rate, tokens float64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share := s.getOrCreate(name, rate, now)
	if now.After(share.slice.Expires) || share.slice.Tokens < tokens {
		return false
	}
	share.slice.Tokens -= tokens
	return true
}

func (s *NodeLimiter) getOrCreate(name string, rate limit.Rate, now time.Time) *nameShare {
	share, known := s.names[name]
	nodes := float64(s.configured)
	if !known {
		share = &nameShare{fallback: limit.NewBucket(rate.TokensPerSecond/nodes, rate.Burst/nodes, now)}
		s.names[name] = share
	}
	share.fallback.SetRate(rate.TokensPerSecond/nodes, rate.Burst/nodes, now)
	return share
}

// merge adds a new slice to the remaining one. The earlier expiry applies to both,
// so that merging never extends the lifetime of a slice.
func (s *nameShare) merge(slice Lease, now time.Time) {
	if now.After(s.slice.Expires) || s.slice.Tokens <= 0 {
		s.slice = slice
		return
	}
	s.slice.Tokens += slice.Tokens
	if slice.Expires.Before(s.slice.Expires) {
		s.slice.Expires = slice.Expires
	}
}

func (s *nameShare) spendFallback(tokens float64, now time.Time) time.Duration {
	if s.fallback.Take(tokens, now) {
		return 0
	}
	return max(s.fallback.Wait(tokens, now), minRetryAfter)
}
