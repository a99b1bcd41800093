package limit

import (
	"sync"
	"time"
)

// AdaptivePolicy bounds an Adaptive limit.
type AdaptivePolicy struct {
	// Start, Min and Max are numbers of operations under way.
	Start, Min, Max float64
	// Cut is what remains of the limit after a late operation, at most once in
	// CutInterval: those under way then were begun under the old limit.
	Cut         float64
	CutInterval time.Duration
}

// DefaultAdaptivePolicy suits operations that are given up within half a second.
func DefaultAdaptivePolicy() AdaptivePolicy {
	return AdaptivePolicy{Start: 32, Min: 4, Max: 256, Cut: 0.7, CutInterval: 200 * time.Millisecond}
}

// Adaptive bounds operations under way by how they end: additive increase,
// multiplicative decrease with slow start (Jacobson 1988). What is refused at
// once doesn't make those late that are under way; without it, an overloaded
// node would begin everything and finish nothing in time.
type Adaptive struct {
	policy AdaptivePolicy
	now    func() time.Time

	mutex    sync.Mutex
	limit    float64
	underWay int
	// threshold ends the slow start.
	threshold float64
	cutAt     time.Time
}

// NewAdaptive makes a limit with nothing under way.
func NewAdaptive(policy AdaptivePolicy, now func() time.Time) *Adaptive {
	return &Adaptive{policy: policy, now: now, limit: policy.Start, threshold: policy.Max}
}

// Begin says whether an operation may begin. After true, End must be called.
func (a *Adaptive) Begin() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if float64(a.underWay) >= a.limit {
		return false
	}
	a.underWay++
	return true
}

// Enter begins an operation that the limit doesn't refuse; it counts for those
// that it may. End must be called.
func (a *Adaptive) Enter() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.underWay++
}

// End takes in how an operation ended: late means that it was given up.
func (a *Adaptive) End(late bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	wasUsed := 2*float64(a.underWay) >= a.limit
	a.underWay--
	switch {
	case late:
		a.cut(a.now())
	case !wasUsed:
	case a.limit < a.threshold:
		a.limit = min(a.limit+1, a.policy.Max)
	default:
		a.limit = min(a.limit+1/a.limit, a.policy.Max)
	}
}

func (a *Adaptive) cut(now time.Time) {
	if now.Sub(a.cutAt) < a.policy.CutInterval {
		return
	}
	a.cutAt = now
	a.limit = max(a.limit*a.policy.Cut, a.policy.Min)
	a.threshold = a.limit
}

// Limit is how many operations may be under way.
func (a *Adaptive) Limit() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int(a.limit)
}
