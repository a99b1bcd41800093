package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ShedPolicy configures load shedding.
type ShedPolicy struct {
	// MaxSlowdown is the maximum ratio of the expected duration of a call to its
	// duration on idle engines. Above it, calls that start a new program are
	// shed. Running programs continue, since shedding them would waste the work
	// already done.
	MaxSlowdown float64
	// MaxMemoryUse is the fraction of the engines' context memory in use above
	// which calls that start a new program are shed. Contexts grow, and those of
	// paused programs must be recomputed after eviction.
	MaxMemoryUse float64
	// MaxQueueNew is the expected queueing time above which calls that start a new
	// program are shed; above MaxQueue all calls are shed.
	MaxQueueNew time.Duration
	MaxQueue    time.Duration
	// MaxScheduledRetry is the longest retry delay that is scheduled in order of
	// refusal. If the usual duration of a program is known, the limit is
	// MaxRetryAfterFraction of it instead. Calls that would exceed the limit get
	// BackoffRetryAfter, so that callers that can't wait stop retrying and leave
	// capacity to the others.
	MaxScheduledRetry         time.Duration
	MaxScheduledRetryFraction float64
	BackoffRetryAfter         time.Duration
	// Jitter is the maximum relative increase of a retry delay.
	Jitter float64
}

// DefaultShedPolicy returns a policy that admits new programs while calls take at
// most four times as long as on idle engines.
func DefaultShedPolicy() ShedPolicy {
	return ShedPolicy{
		MaxSlowdown:               4,
		MaxMemoryUse:              0.96,
		MaxQueueNew:               10 * time.Second,
		MaxQueue:                  30 * time.Second,
		MaxScheduledRetry:         5 * time.Second,
		MaxScheduledRetryFraction: 0.1,
		BackoffRetryAfter:         time.Minute,
		Jitter:                    0.2,
	}
}

// memoryRetryAfter is the minimum retry delay if memory is short. When memory is
// freed depends on users and tools and can't be predicted.
const memoryRetryAfter = time.Second

// Demand describes a call for which admission is requested.
type Demand struct {
	// Started is true if earlier calls of the program were served.
	Started bool
	// ExpectedQueue is the shortest expected queueing time of the engines.
	ExpectedQueue time.Duration
	// ServiceTime is the engine time that the call needs.
	ServiceTime time.Duration
	// ExpectedDuration is the duration of the call at the current load, and UnloadedDuration that
	// on idle engines; zero if unknown.
	ExpectedDuration time.Duration
	UnloadedDuration time.Duration
	// MemoryUse is the fraction of the engines' context memory in use.
	MemoryUse float64
	// TimeLeft is the time until the program's caller gives up, and UsualDuration the usual
	// duration of such programs; zero if unknown. A new program is shed if TimeLeft is
	// shorter than UsualDuration.
	TimeLeft      time.Duration
	UsualDuration time.Duration
	// Engines is the number of engines that can serve the call.
	Engines int
}

// Shedder refuses calls before they queue. The retry delay of a refused call is
// the time in which the excess load and all calls refused before it are expected
// to be served, so that retries are spread over time.
type Shedder struct {
	policy ShedPolicy

	mutex     sync.Mutex
	nextRetry time.Time
}

// NewShedder returns a shedder with the policy.
func NewShedder(policy ShedPolicy) *Shedder {
	return &Shedder{policy: policy}
}

// Admit returns zero if the call is admitted, or else the delay before a retry.
func (s *Shedder) Admit(demand Demand, random *rand.Rand, now time.Time) time.Duration {
	excess := s.excess(&demand)
	if demand.missesDeadline() {
		return max(s.policy.BackoffRetryAfter, demand.TimeLeft, minRetryAfter)
	}
	if excess <= 0 {
		return 0
	}
	delay := s.scheduleRetry(&demand, excess, now)
	jitter := 1 + s.policy.Jitter*random.Float64()
	return max(time.Duration(float64(delay)*jitter), minRetryAfter)
}

// missesDeadline reports whether the caller of a new program would give up before
// the program ends.
func (d *Demand) missesDeadline() bool {
	return !d.Started && d.TimeLeft > 0 && d.TimeLeft < d.UsualDuration
}

// excess returns the largest amount by which an expected time exceeds its limit,
// or memoryRetryAfter if memory is short and that is longer.
func (s *Shedder) excess(demand *Demand) time.Duration {
	var excess time.Duration
	if s.policy.MaxQueue > 0 {
		excess = max(demand.ExpectedQueue-s.policy.MaxQueue, 0)
	}
	if demand.Started {
		return excess
	}
	if s.policy.MaxQueueNew > 0 {
		excess = max(excess, demand.ExpectedQueue-s.policy.MaxQueueNew)
	}
	if s.policy.MaxMemoryUse > 0 && demand.MemoryUse > s.policy.MaxMemoryUse {
		excess = max(excess, memoryRetryAfter)
	}
	if s.policy.MaxSlowdown > 0 && demand.UnloadedDuration > 0 {
		longest := time.Duration(s.policy.MaxSlowdown * float64(demand.UnloadedDuration))
		excess = max(excess, demand.ExpectedDuration-longest)
	}
	return excess
}

// scheduleRetry returns a retry delay after those of the calls refused before.
func (s *Shedder) scheduleRetry(demand *Demand, excess time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	earliest := now.Add(excess)
	if s.nextRetry.Before(earliest) {
		s.nextRetry = earliest
	}
	delay := s.nextRetry.Sub(now)
	if longest := s.maxScheduledRetry(demand); longest > 0 && delay > longest {
		return max(delay, s.policy.BackoffRetryAfter)
	}
	s.nextRetry = s.nextRetry.Add(demand.ServiceTime / time.Duration(max(demand.Engines, 1)))
	return delay
}

func (s *Shedder) maxScheduledRetry(demand *Demand) time.Duration {
	if s.policy.MaxScheduledRetryFraction > 0 && demand.UsualDuration > 0 {
		return time.Duration(s.policy.MaxScheduledRetryFraction * float64(demand.UsualDuration))
	}
	return s.policy.MaxScheduledRetry
}
