package tokenbudget

import "time"

const (
	// failuresToClose reservations in a row, each tried at several hosts of a
	// shard, close the shard: requests are then refused at once.
	failuresToClose = 3
	// closedTime is how long a shard stays closed at first. It doubles with each
	// trial that fails, up to longestClosed.
	closedTime    = 250 * time.Millisecond
	longestClosed = 2 * time.Second
	// trialTime is how long a single trial keeps others away.
	trialTime = 2 * tryTimeout
)

// breaker closes a shard that decides nothing. Once its time is over, a single
// request tries it and the others are refused until that one has ended:
// otherwise each pause would end with as many requests as it was to keep away.
type breaker struct {
	failures int
	until    time.Time
}

// allow says whether a request may try the shard.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < failuresToClose {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(trialTime)
	return true
}

// note takes in whether a request was decided.
func (b *breaker) note(decided bool, now time.Time) {
	if decided {
		*b = breaker{}
		return
	}
	b.failures++
	if b.failures < failuresToClose {
		return
	}
	pause := closedTime
	for i := failuresToClose; i < b.failures && pause < longestClosed; i++ {
		pause *= 2
	}
	b.until = now.Add(min(pause, longestClosed))
}
