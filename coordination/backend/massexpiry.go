package backend

import "time"

const (
	// ExpiryGracePeriod is how long instances are kept after a mass expiry of their registry
	// entries, which happens when the store is unavailable. Live instances register again
	// within about two seconds of its return. An instance that left meanwhile may get
	// requests for as long. Without it only 0.70 to 0.87 of the programs that began after
	// the store's return were served, with it 0.98 to 1.00.
	ExpiryGracePeriod = 1800 * time.Millisecond
	// massExpiryFraction of a service's instances, and at least massExpiryMinimum of them,
	// must vanish at once to count as a mass expiry.
	massExpiryFraction = 1.0 / 3
	massExpiryMinimum  = 2
)

// isMassExpiry reports whether so many of a service's instances vanished at once that
// their entries have probably expired while the instances still run.
func isMassExpiry(vanished, known int) bool {
	return vanished >= massExpiryMinimum && float64(vanished) >= massExpiryFraction*float64(known)
}

// retainExpired returns the instances that vanished in a mass expiry and may still come
// back. It excludes instances that were leaving and those whose address another instance
// has taken.
func retainExpired(previous *snapshot, next []Instance, now time.Time) []Instance {
	present := make(map[string]bool, len(next))
	addresses := make(map[string]bool, len(next))
	for _, instance := range next {
		present[instance.ID] = true
		addresses[instance.Address] = true
	}
	var kept []Instance
	for _, svc := range previous.services {
		var vanished []*member
		for _, known := range svc.members {
			if !present[known.ID] && !known.Leaving && !addresses[known.Address] {
				vanished = append(vanished, known)
			}
		}
		massExpiry := isMassExpiry(len(vanished), len(svc.members))
		for _, known := range vanished {
			if known.load.retain(massExpiry, now) {
				kept = append(kept, known.Instance)
			}
		}
	}
	return kept
}

// retain reports whether an instance without an entry is kept. massExpiry is set if the
// instance is part of a mass expiry now. An instance once retained is kept until
// ExpiryGracePeriod is over, whatever vanishes later.
func (l *load) retain(massExpiry bool, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.expiredAt.IsZero() && massExpiry {
		l.expiredAt = now
	}
	return !l.expiredAt.IsZero() && now.Sub(l.expiredAt) < ExpiryGracePeriod
}

// clearExpiry records that the instance has an entry again.
func (l *load) clearExpiry() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expiredAt = time.Time{}
}
