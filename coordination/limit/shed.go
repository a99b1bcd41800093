package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ShedPolicy says when calls are shed.
type ShedPolicy struct {
	// MaxQueueNew is the expected queueing above which a call that starts a new
	// program is shed. Programs that have begun go on: shedding them would
	// throw away what they have computed.
	MaxQueueNew time.Duration
	// MaxQueue is the expected queueing above which every call is shed.
	MaxQueue time.Duration
	// Spread is the relative jitter of the pauses given.
	Spread float64
}

// DefaultShedPolicy keeps the queue of accepted programs short.
func DefaultShedPolicy() ShedPolicy {
	return ShedPolicy{MaxQueueNew: 2 * time.Second, MaxQueue: 30 * time.Second, Spread: 0.2}
}

// Demand is a call that asks to be let in.
type Demand struct {
	// Begun is set where the program was served before.
	Begun bool
	// ExpectedQueue is the shortest expected wait over the engines.
	ExpectedQueue time.Duration
	// Service is the engine time the call needs.
	Service time.Duration
	// Engines that can serve it.
	Engines int
}

// Shedder refuses calls before they queue. Its pauses are honest: a refused
// call is given the time at which the excess and all calls refused before it
// will have been served, so that not all come back at once.
type Shedder struct {
	policy ShedPolicy

	mutex    sync.Mutex
	promised time.Time
}

// NewShedder makes a shedder.
func NewShedder(policy ShedPolicy) *Shedder {
	return &Shedder{policy: policy}
}

// Admit returns zero where the call may go on, else the pause after which
// another try makes sense.
func (s *Shedder) Admit(demand Demand, random *rand.Rand, now time.Time) time.Duration {
	limit := s.policy.MaxQueueNew
	if demand.Begun {
		limit = s.policy.MaxQueue
	}
	if limit <= 0 || demand.ExpectedQueue <= limit {
		return 0
	}
	pause := s.promise(demand, demand.ExpectedQueue-limit, now)
	jitter := 1 + s.policy.Spread*random.Float64()
	return max(time.Duration(float64(pause)*jitter), minRetryAfter)
}

// promise gives the next place in the line of refused calls.
func (s *Shedder) promise(demand Demand, excess time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	earliest := now.Add(excess)
	if s.promised.Before(earliest) {
		s.promised = earliest
	}
	s.promised = s.promised.Add(demand.Service / time.Duration(max(demand.Engines, 1)))
	return s.promised.Sub(now)
}
