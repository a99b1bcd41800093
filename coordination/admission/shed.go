package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ShedPolicy says when calls are shed.
type ShedPolicy struct {
	// MaxStretch is the expected time of a call, as a multiple of its time on
	// idle engines, above which a call that starts a new program is shed.
	// Programs that have begun go on: shedding them would throw away what they
	// have computed.
	MaxStretch float64
	// MaxMemory is the share of the engines' context memory in use above which
	// such a call is shed too: contexts grow, and once those of paused programs
	// are evicted everything is computed again.
	MaxMemory float64
	// MaxQueueNew is the expected queueing above which such a call is shed, and
	// MaxQueue that above which every call is.
	MaxQueueNew time.Duration
	MaxQueue    time.Duration
	// MaxLine is the longest pause given to calls that are to come back in turn;
	// where the usual time of a program is known, LineShare of it is. Beyond it
	// they are sent away for Away, so that callers who can't wait that long stop
	// asking and those in line find room.
	MaxLine   time.Duration
	LineShare float64
	Away      time.Duration
	// Spread is the relative jitter of the pauses given.
	Spread float64
}

// DefaultShedPolicy admits programs while calls take at most four times as
// long as on idle engines.
func DefaultShedPolicy() ShedPolicy {
	return ShedPolicy{
		MaxStretch:  4,
		MaxMemory:   0.96,
		MaxQueueNew: 10 * time.Second,
		MaxQueue:    30 * time.Second,
		MaxLine:     5 * time.Second,
		LineShare:   0.1,
		Away:        time.Minute,
		Spread:      0.2,
	}
}

// memoryPause is the pause of the first in line for memory. When memory is
// freed depends on users and tools, so nothing better is known.
const memoryPause = time.Second

// Demand is a call that asks to be let in.
type Demand struct {
	// Begun is set where the program was served before.
	Begun bool
	// ExpectedQueue is the shortest expected wait over the engines.
	ExpectedQueue time.Duration
	// Service is the engine time the call needs.
	Service time.Duration
	// Expected is the time of the call as things are, Unloaded that on idle
	// engines; zero where these aren't known.
	Expected time.Duration
	Unloaded time.Duration
	// MemoryUse is the share of the engines' context memory in use.
	MemoryUse float64
	// Left is the time until the program's caller gives up, Usual the time that
	// such programs usually take; zero where these aren't known. A new program
	// that has less left is shed.
	Left  time.Duration
	Usual time.Duration
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
	excess := s.excess(&demand)
	if demand.tooLate() {
		return max(s.policy.Away, demand.Left, minRetryAfter)
	}
	if excess <= 0 {
		return 0
	}
	pause := s.promise(&demand, excess, now)
	jitter := 1 + s.policy.Spread*random.Float64()
	return max(time.Duration(float64(pause)*jitter), minRetryAfter)
}

// tooLate says whether a new program would be given up before it ends.
func (d *Demand) tooLate() bool {
	return !d.Begun && d.Left > 0 && d.Left < d.Usual
}

// excess is by how much the expected times exceed their limits.
func (s *Shedder) excess(demand *Demand) time.Duration {
	var excess time.Duration
	if s.policy.MaxQueue > 0 {
		excess = max(demand.ExpectedQueue-s.policy.MaxQueue, 0)
	}
	if demand.Begun {
		return excess
	}
	if s.policy.MaxQueueNew > 0 {
		excess = max(excess, demand.ExpectedQueue-s.policy.MaxQueueNew)
	}
	if s.policy.MaxMemory > 0 && demand.MemoryUse > s.policy.MaxMemory {
		excess = max(excess, memoryPause)
	}
	if s.policy.MaxStretch > 0 && demand.Unloaded > 0 {
		longest := time.Duration(s.policy.MaxStretch * float64(demand.Unloaded))
		excess = max(excess, demand.Expected-longest)
	}
	return excess
}

// promise gives the next place in the line of refused calls.
func (s *Shedder) promise(demand *Demand, excess time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	earliest := now.Add(excess)
	if s.promised.Before(earliest) {
		s.promised = earliest
	}
	pause := s.promised.Sub(now)
	if longest := s.longestLine(demand); longest > 0 && pause > longest {
		return max(pause, s.policy.Away)
	}
	s.promised = s.promised.Add(demand.Service / time.Duration(max(demand.Engines, 1)))
	return pause
}

func (s *Shedder) longestLine(demand *Demand) time.Duration {
	if s.policy.LineShare > 0 && demand.Usual > 0 {
		return time.Duration(s.policy.LineShare * float64(demand.Usual))
	}
	return s.policy.MaxLine
}
