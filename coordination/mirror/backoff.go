package mirror

import "time"

// Backoffs of holders. A holder in backoff is skipped.
const (
	// initialBackoff follows the first call that wasn't answered. Each further one doubles
	// it, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// unusableBackoff follows an unusable answer, usually of a holder that has lost the
	// store. It is short because such answers are cheap and the recovery of the holder
	// should be noticed soon.
	unusableBackoff = 250 * time.Millisecond
)

// backoff is the time during which a holder is skipped. The zero value is for a holder
// whose last answer was usable.
type backoff struct {
	delay time.Duration
	until time.Time
}

// hasExpired reports whether the holder may be asked again.
func (b backoff) hasExpired(now time.Time) bool { return !now.Before(b.until) }

// afterFailure returns the backoff after a call that wasn't answered. Failures during a
// backoff don't extend it: a node follows several kinds through the same holder, and all
// of its calls fail at the same moment.
func (b backoff) afterFailure(now time.Time) backoff {
	if !b.hasExpired(now) {
		return b
	}
	delay := min(max(2*b.delay, initialBackoff), maxBackoff)
	return backoff{delay: delay, until: now.Add(delay)}
}

// afterUnusable returns the backoff after an unusable answer.
func (b backoff) afterUnusable(now time.Time) backoff {
	return backoff{until: now.Add(unusableBackoff)}
}
