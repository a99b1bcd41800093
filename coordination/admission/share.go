package admission

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Granter asks the pool of a name for a slice. It returns false where no pool
// can be reached.
type Granter interface {
	Grant(name string, needed float64) (Slice, bool)
}

// Share is a node's side of the rates: it spends slices and asks for new ones.
type Share struct {
	configured int

	mutex sync.Mutex
	names map[string]*share
}

type share struct {
	slice    Slice
	fallback limit.Bucket
}

// NewShare makes a share of one of the configured nodes.
func NewShare(configuredNodes int) *Share {
	return &Share{configured: max(configuredNodes, 1), names: make(map[string]*share)}
}

// Use spends tokens of a name's rate. It returns zero where they were spent,
// else the pause after which another try makes sense. The rate is needed for
// the fallback: where no pool is reached, the node spends its equal part.
func (s *Share) Use(name string, rate limit.Rate, tokens float64, granter Granter, now time.Time) time.Duration {
	if s.spend(name, rate, tokens, now) {
		return 0
	}
	slice, reached := granter.Grant(name, tokens)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.open(name, rate, now)
	if !reached {
		return own.fallBack(tokens, now)
	}
	if slice.Tokens < tokens {
		return max(slice.RetryAfter, minRetryAfter)
	}
	own.add(slice, now)
	own.slice.Tokens -= tokens
	return 0
}

func (s *Share) spend(name string, rate limit.Rate, tokens float64, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.open(name, rate, now)
	if now.After(own.slice.Expires) || own.slice.Tokens < tokens {
		return false
	}
	own.slice.Tokens -= tokens
	return true
}

func (s *Share) open(name string, rate limit.Rate, now time.Time) *share {
	own, known := s.names[name]
	part := float64(s.configured)
	if !known {
		own = &share{fallback: limit.NewBucket(rate.TokensPerSecond/part, rate.Burst/part, now)}
		s.names[name] = own
	}
	own.fallback.SetRate(rate.TokensPerSecond/part, rate.Burst/part, now)
	return own
}

// add joins a new slice to what is left. The sooner expiry counts for both, so
// that joining never lengthens a slice's life.
func (s *share) add(slice Slice, now time.Time) {
	if now.After(s.slice.Expires) || s.slice.Tokens <= 0 {
		s.slice = slice
		return
	}
	s.slice.Tokens += slice.Tokens
	if slice.Expires.Before(s.slice.Expires) {
		s.slice.Expires = slice.Expires
	}
}

func (s *share) fallBack(tokens float64, now time.Time) time.Duration {
	if s.fallback.Take(tokens, now) {
		return 0
	}
	return max(s.fallback.Wait(tokens, now), minRetryAfter)
}
