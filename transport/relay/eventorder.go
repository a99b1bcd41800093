package relay

import (
	"errors"
	"fmt"

	"github.com/marblering/marblering/coordination/numbering"
)

var (
	// errNotContinued means that an instance doesn't go on after the last event that the client
	// has: what it sends is another run.
	errNotContinued = errors.New("the stream wasn't continued after its last event")
	// errNotRising means that the ids of a run don't rise.
	errNotRising = errors.New("the ids of the stream's events don't rise")
	// errEventsMissing means that a run leaves out events.
	errEventsMissing = errors.New("events of the stream are missing")
)

// eventOrder is the place in a client's stream, over all runs that its events come from.
type eventOrder struct {
	// lastID is the id after which another run can continue the stream; empty if the last event
	// has no number or there is none.
	lastID string
	// highest is the last number that was passed on, or that the client names.
	highest numbering.Number
	// isJoin is set from the begin of a continuation to its first event.
	isJoin bool
	// hasEvents is set once the client has events.
	hasEvents bool
	// unnumbered counts the events without a number since the last one that has one.
	unnumbered uint64
	// learned is how runs of the instance's software version are numbered.
	learned numbering.Scheme
	// shown are the numbers of this stream.
	shown numbering.Run
	// isOther is set once the stream has shown another numbering than the learned one.
	isOther bool
}

// resume sets the place that the client names. It returns false if that has no number.
func (o *eventOrder) resume(lastID string) (ok bool) {
	o.highest, ok = numbering.Parse(lastID)
	o.hasEvents = true
	if ok {
		o.shown.Add(o.highest)
	}
	return ok
}

// beginRun notes that the next events come from another run.
func (o *eventOrder) beginRun(isContinuation bool, learned numbering.Scheme) {
	o.isJoin, o.learned = isContinuation, learned
}

// check returns whether the event follows the last one, or begins a run. It is unknown where the event differs
// from what was learned, or nothing shows by how much the numbers rise: the event after it tells. The error is
// errNotRising or errEventsMissing within a run, errNotContinued between two.
func (o *eventOrder) check(next event) (numbering.Verdict, error) {
	if !next.isCounted() {
		return numbering.Follows, nil
	}
	number := next.number
	switch {
	case o.isJoin && o.highest == "":
		return numbering.Missing, fmt.Errorf("%w: %w", errNoEventID, errNotContinued)
	case o.isJoin && !number.IsAfter(o.highest):
		return numbering.Missing, o.errorAt(errNotContinued, next)
	case number == "":
		return numbering.Follows, nil
	case o.highest != "" && !number.IsAfter(o.highest):
		return numbering.Missing, o.errorAt(errNotRising, next)
	}
	verdict := o.checkNumber(number)
	if verdict == numbering.Missing {
		return verdict, o.missingBefore(next)
	}
	return verdict, nil
}

func (o *eventOrder) checkNumber(number numbering.Number) numbering.Verdict {
	learned := o.expected()
	if !o.hasEvents {
		return learned.CheckFirst(number)
	}
	shown := o.shown.Scheme()
	switch {
	case o.highest == "" || learned.Varies:
		return numbering.Follows
	case shown.HasStep():
		return shown.CheckNext(o.highest, number, o.unnumbered)
	}
	verdict := learned.CheckNext(o.highest, number, o.unnumbered)
	switch {
	case verdict == numbering.Missing && (!o.isJoin || !learned.IsSure):
		return numbering.Unknown // the run may have another numbering than those before
	case verdict == numbering.Unknown && !o.isJoin:
		return numbering.Follows
	}
	return verdict
}

// expected returns how the run is expected to be numbered; nothing once it has shown another numbering.
func (o *eventOrder) expected() numbering.Scheme {
	if o.isOther {
		return numbering.Scheme{}
	}
	return o.learned
}

// settleHeld decides about an event by the one after it. Events are missing before it if the numbers rise as
// expected from there on. Else the run has another numbering, unless it continues another one by a step that
// isn't its own, or what is expected is sure.
func (o *eventOrder) settleHeld(held, next event) error {
	before, _ := held.number.Since(o.highest)
	after, isKnown := next.number.Since(held.number)
	learned := o.expected()
	isOwnStep := o.hasEvents && isKnown && after == before
	switch {
	case isKnown && after == learned.Step && !isOwnStep,
		o.isJoin && !isOwnStep,
		o.hasEvents && learned.IsSure && !isOwnStep,
		!isKnown && learned.IsSure:
		return o.missingBefore(held)
	}
	o.isOther = true
	return nil
}

// settleLast decides about an event that none follows.
func (o *eventOrder) settleLast(held event) error {
	if o.isJoin || o.expected().IsSure {
		return fmt.Errorf("%w, and no event after it shows by how much ids rise", o.missingBefore(held))
	}
	return nil
}

// missingBefore returns the error for an event before which others are missing.
func (o *eventOrder) missingBefore(next event) error {
	if o.isJoin {
		return o.errorAt(errNotContinued, next)
	}
	return o.errorAt(errEventsMissing, next)
}

// errorAt returns the error for an event that doesn't follow the last one.
func (o *eventOrder) errorAt(cause error, next event) error {
	return fmt.Errorf("%w: %q comes after %q", cause, shortID(next.id), shortID(string(o.highest)))
}

// add notes an event that was passed on.
func (o *eventOrder) add(sent event) {
	if !sent.isCounted() {
		return
	}
	o.isJoin, o.hasEvents = false, true
	if sent.number == "" {
		o.lastID = ""
		o.unnumbered++
		o.shown.AddUnnumbered()
		return
	}
	o.lastID, o.highest, o.unnumbered = sent.id, sent.number, 0
	o.shown.Add(sent.number)
}

// maxShownID bounds ids in errors, in bytes.
const maxShownID = 32

func shortID(id string) string { return id[:min(len(id), maxShownID)] }
