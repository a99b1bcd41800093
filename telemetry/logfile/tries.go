package logfile

import (
	"cmp"
	"io"
	"slices"
	"time"
)

// followWindow is how long after a try that wasn't served another one of the same program
// on the same route counts as its repeat: longer than any Retry-After and the time that a
// request has (chosen, not measured).
const followWindow = 5 * time.Second

// Held says what a gateway waited for before it ended a try.
type Held string

// What a try may have been held by.
const (
	// HeldByNothing: answered, or refused at once.
	HeldByNothing Held = ""
	// HeldByState: the line of turns was read and the budget reserved.
	HeldByState Held = "history and budget"
	// HeldByDials: back ends were chosen and couldn't be reached.
	HeldByDials Held = "connecting"
	// HeldByBackend: a back end had the request.
	HeldByBackend Held = "back end"
)

// heldAtLeast is the shortest time that counts as having been held (chosen, not measured).
const heldAtLeast = 10 * time.Millisecond

// Tries are the tries of one route that ended alike.
type Tries struct {
	Route string
	// Status and Code are those of the answer.
	Status, Code string
	Held         Held
	Count        int
	// HeldFor sums up how long these tries took, Longest is the longest of them.
	HeldFor, Longest time.Duration
	// ThenServed, ThenFailed and ThenNone say what the next try of the same program
	// and route came to. Lines of turns that run side by side aren't told apart.
	ThenServed, ThenFailed, ThenNone int
}

// triesKey is what the tries of one Tries have in common.
type triesKey struct {
	route, status, code string
	held                Held
}

// SummarizeTries reads the logs of gateways and sums up how the tries of their callers
// ended, the most frequent first within each route. Gateways bound their lines a second,
// so that answered tries may be missing under load. It fails where a log can't be read.
func SummarizeTries(logs []io.Reader) ([]Tries, error) {
	all, err := readAll(logs)
	if err != nil {
		return nil, err
	}
	found := make(map[triesKey]*Tries)
	following := make(map[[2]string]Line)
	// From the last line back, so that the next try of each program is known.
	for _, l := range slices.Backward(all) {
		if !l.isTry() {
			continue
		}
		key := triesKey{route: l.Get("route"), status: l.Get("status"), code: l.Get("code"), held: l.held()}
		if found[key] == nil {
			found[key] = &Tries{Route: key.route, Status: key.status, Code: key.code, Held: key.held}
		}
		pair := [2]string{l.Get("key"), l.Get("route")}
		next, followed := following[pair]
		found[key].add(l, next, followed && pair[0] != "")
		following[pair] = l
	}
	return sortTries(found), nil
}

// sortTries returns the sums by route, and within a route the most frequent first.
func sortTries(found map[triesKey]*Tries) []Tries {
	sorted := make([]Tries, 0, len(found))
	for _, one := range found {
		sorted = append(sorted, *one)
	}
	slices.SortFunc(sorted, func(a, b Tries) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.Held, b.Held))
	})
	return sorted
}

// add counts a try, with the next one of the same program and route if there is one.
func (t *Tries) add(l, next Line, followed bool) {
	took := l.duration("took")
	t.Count++
	t.HeldFor += took
	t.Longest = max(t.Longest, took)
	if l.isServed() {
		return
	}
	switch {
	case !followed || next.Time.Sub(l.Time) > followWindow:
		t.ThenNone++
	case next.isServed():
		t.ThenServed++
	default:
		t.ThenFailed++
	}
}

// isTry tells whether the line ends a request of a caller.
func (l Line) isTry() bool {
	message := l.Get("msg")
	return message == answeredMessage || message == failedMessage
}

// isServed tells whether the request was answered.
func (l Line) isServed() bool { return l.Get("msg") == answeredMessage }

// held says what the gateway waited for, by the times and sends in the line.
func (l Line) held() Held {
	switch took := l.duration("took"); {
	case l.isServed() || took < heldAtLeast:
		return HeldByNothing
	case l.Get("sends") != "0":
		return HeldByBackend
	case took-l.duration("prepared") < heldAtLeast:
		return HeldByState
	}
	return HeldByDials
}
