package relay

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var (
	// errNotContinued means that an instance doesn't go on after the last event that the client
	// has: what it sends is another run.
	errNotContinued = errors.New("the stream wasn't continued after its last event")
	// errNotRising means that the ids of a run don't rise.
	errNotRising = errors.New("the ids of the stream's events don't rise")
)

// eventOrder is the place in a client's stream, over all runs that its events come from.
type eventOrder struct {
	// lastID is the id after which another run can continue the stream; empty if the last event
	// has no number or there is none.
	lastID string
	// highest is the last number that was passed on, or that the client names.
	highest eventNumber
	// isJoin is set from the begin of a continuation to its first event.
	isJoin bool
	// inRow counts the events up to the last one that have numbers which rise by one.
	inRow int
}

// resume sets the place that the client names. It returns false if that has no number.
func (o *eventOrder) resume(lastID string) (ok bool) {
	o.highest, ok = parseEventNumber(lastID)
	return ok
}

// check returns an error if the event doesn't follow the last one: errNotRising within a run,
// errNotContinued between two. A run that skips numbers may do so, but a continuation that does is
// taken for one that misses events, unless the numbers rose by more than one before.
func (o *eventOrder) check(next event) error {
	if next.id == "" && !next.hasData {
		return nil
	}
	number, isNumber := parseEventNumber(next.id)
	switch {
	case o.isJoin && o.highest == "":
		return fmt.Errorf("%w: %w", errNoEventID, errNotContinued)
	case o.isJoin && (!isNumber || !number.isAfter(o.highest)),
		o.isJoin && o.inRow >= minInRow && !number.isNext(o.highest):
		return fmt.Errorf("%w: %q comes after %s", errNotContinued, shortID(next.id), shortID(string(o.highest)))
	case isNumber && o.highest != "" && !number.isAfter(o.highest):
		return fmt.Errorf("%w: %s comes after %s", errNotRising, shortID(next.id), shortID(string(o.highest)))
	}
	return nil
}

// minInRow is the number of events in a row that show that numbers rise by one.
const minInRow = 2

// add notes an event that was passed on.
func (o *eventOrder) add(sent event) {
	if sent.id == "" && !sent.hasData {
		return
	}
	o.isJoin = false
	number, isNumber := parseEventNumber(sent.id)
	if !isNumber {
		o.lastID, o.inRow = "", 0
		return
	}
	if !number.isNext(o.highest) {
		o.inRow = 0
	}
	o.inRow++
	o.lastID, o.highest = sent.id, number
}

// eventNumber is a number of any size in decimal digits, without leading zeros; empty for none.
type eventNumber string

func parseEventNumber(id string) (number eventNumber, ok bool) {
	if id == "" || strings.Trim(id, "0123456789") != "" {
		return "", false
	}
	digits := strings.TrimLeft(id, "0")
	if digits == "" {
		digits = "0"
	}
	return eventNumber(digits), true
}

func (n eventNumber) isAfter(other eventNumber) bool {
	if len(n) != len(other) {
		return len(n) > len(other)
	}
	return n > other
}

// isNext reports whether the number is one more than the other. It is false beyond 64 bits.
func (n eventNumber) isNext(other eventNumber) bool {
	number, err := strconv.ParseUint(string(n), 10, 64)
	if err != nil || number == 0 {
		return false
	}
	before, err := strconv.ParseUint(string(other), 10, 64)
	return err == nil && before == number-1
}

// maxShownID bounds ids in errors, in bytes.
const maxShownID = 32

func shortID(id string) string { return id[:min(len(id), maxShownID)] }
