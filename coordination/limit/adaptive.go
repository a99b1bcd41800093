package limit

import (
	"sync"
	"time"
)

// AdaptivePolicy configures an AdaptiveLimit.
type AdaptivePolicy struct {
	// Start, Min and Max are the initial, smallest and largest limit, in operations in
	// flight.
	Start, Min, Max float64
	// DecreaseFactor multiplies the limit after a late operation, at most once in
	// DecreaseInterval: operations that end shortly after a decrease were admitted under
	// the old limit.
	DecreaseFactor   float64
	DecreaseInterval time.Duration
}

// DefaultAdaptivePolicy suits operations with a timeout of up to half a second. With it
// 4,000 of 5,000 operations end in time at four times the load that can be done, and 7
// without a limit (virtual time).
func DefaultAdaptivePolicy() AdaptivePolicy {
	return AdaptivePolicy{Start: 32, Min: 4, Max: 256, DecreaseFactor: 0.7, DecreaseInterval: 200 * time.Millisecond}
}

// AdaptiveLimit limits concurrent operations so that an overloaded node rejects some at once
// instead of starting all and completing none in time. It adapts the limit to how
// operations end, by additive increase and multiplicative decrease with slow start
// (V. Jacobson, "Congestion Avoidance and Control", 1988).
type AdaptiveLimit struct {
	policy AdaptivePolicy
	now    func() time.Time

	mutex    sync.Mutex
	limit    float64
	inFlight int
	// slowStartThreshold is the limit at which slow start ends.
	slowStartThreshold float64
	// decreasedAt is when the limit was last decreased.
	decreasedAt time.Time
}

// NewAdaptiveLimit returns a limit with no operations in flight.
func NewAdaptiveLimit(policy AdaptivePolicy, now func() time.Time) *AdaptiveLimit {
	return &AdaptiveLimit{policy: policy, now: now, limit: policy.Start, slowStartThreshold: policy.Max}
}

// TryAcquire reports whether an operation may start. If so, it counts as in flight until Release is
// called.
func (a *AdaptiveLimit) TryAcquire() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if float64(a.inFlight) >= a.limit {
		return false
	}
	a.inFlight++
	return true
}

// ForceAcquire starts an operation regardless of the limit. It counts as in flight until Release is
// called.
func (a *AdaptiveLimit) ForceAcquire() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.inFlight++
}

// Release records the end of an operation and adapts the limit; late means that the operation
// didn't complete in time. The limit grows only while at least half of it is in use.
func (a *AdaptiveLimit) Release(late bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	wasUtilized := 2*float64(a.inFlight) >= a.limit
	a.inFlight--
	switch {
	case late:
		a.decrease(a.now())
	case !wasUtilized:
	case a.limit < a.slowStartThreshold:
		a.limit = min(a.limit+1, a.policy.Max)
	default:
		a.limit = min(a.limit+1/a.limit, a.policy.Max)
	}
}

// decrease lowers the limit, at most once in DecreaseInterval, and ends slow start.
func (a *AdaptiveLimit) decrease(now time.Time) {
	if now.Sub(a.decreasedAt) < a.policy.DecreaseInterval {
		return
	}
	a.decreasedAt = now
	a.limit = max(a.limit*a.policy.DecreaseFactor, a.policy.Min)
	a.slowStartThreshold = a.limit
}

// Limit returns the current limit of operations in flight.
func (a *AdaptiveLimit) Limit() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int(a.limit)
}
