package limit

import (
	"sync"
	"time"
)

// AdaptivePolicy bounds an Adaptive limit.
type AdaptivePolicy struct {
	// Start, Min and Max are the first, the smallest and the largest limit, in
	// operations under way.
	Start, Min, Max float64
	// Cut is the factor of the limit after a late operation. It is applied at most once
	// in CutInterval, since operations that end soon after it were begun under the old
	// limit.
	Cut         float64
	CutInterval time.Duration
}

// DefaultAdaptivePolicy suits operations that are given up within half a second. With
// it 4,000 of 5,000 operations end in time at four times the load that can be done, and
// 7 without a limit (virtual time, TestOverloadFinishesWhatItBegins). The single figures
// are chosen.
func DefaultAdaptivePolicy() AdaptivePolicy {
	return AdaptivePolicy{Start: 32, Min: 4, Max: 256, Cut: 0.7, CutInterval: 200 * time.Millisecond}
}

// Adaptive bounds operations under way by how they end: additive increase,
// multiplicative decrease with slow start (Jacobson 1988). Operations that are refused at
// once don't make those late that are under way. Without a limit an overloaded node
// begins everything and finishes nothing in time.
type Adaptive struct {
	policy AdaptivePolicy
	now    func() time.Time

	mutex    sync.Mutex
	limit    float64
	underWay int
	// threshold is the limit at which slow start ends.
	threshold float64
	// cutAt is when the limit was last cut.
	cutAt time.Time
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

// Enter begins an operation that is never refused. It counts as under way for the
// others. End must be called.
func (a *Adaptive) Enter() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.underWay++
}

// End records how an operation ended; late means that it was given up.
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

// cut lowers the limit and ends slow start.
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
