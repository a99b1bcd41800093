package mirror

import "time"

// How long a holder that failed is asked after the others (chosen, not measured).
const (
	// firstAvoidance is for the first time that it didn't answer, twice as long for each
	// further time, up to longestAvoidance.
	firstAvoidance   = 500 * time.Millisecond
	longestAvoidance = 3 * time.Second
	// uselessAvoidance is for an answer that is of no use, mostly because the holder has
	// lost the store. It is short: such an answer costs little, and that the holder is of
	// use again has to be noticed soon.
	uselessAvoidance = 250 * time.Millisecond
)

// avoidance is for how long a holder is asked after the others. The zero value is for one
// that answered.
type avoidance struct {
	length time.Duration
	until  time.Time
}

// isOver tells that the holder may be asked.
func (a avoidance) isOver(now time.Time) bool { return !now.Before(a.until) }

// unanswered returns the avoidance after a call that wasn't answered. While it lasts that
// changes nothing: the calls of all kinds fail at the same moment, and were each of them
// to double the time, a holder that refused connections for 0.3 s would be avoided for
// 3 s.
func (a avoidance) unanswered(now time.Time) avoidance {
	if !a.isOver(now) {
		return a
	}
	length := min(max(2*a.length, firstAvoidance), longestAvoidance)
	return avoidance{length: length, until: now.Add(length)}
}

// useless returns the avoidance after an answer that is of no use.
func (a avoidance) useless(now time.Time) avoidance {
	return avoidance{until: now.Add(uselessAvoidance)}
}
