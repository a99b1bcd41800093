package relay

import "github.com/marblering/marblering/transport/upstream"

// streamEnd is what is known of a stream that its instance has ended in an orderly way.
type streamEnd struct {
	framing upstream.Framing
	// resumable tells that an instance can continue the stream after an event that was passed on.
	resumable bool
	// isContinuation tells that the client had events before this attempt, events how many
	// this attempt added, and hasReceived that it got something at all.
	isContinuation bool
	events         int
	hasReceived    bool
}

// verify returns an error unless the stream counts as whole.
//
// A connection is closed in the same way after a whole stream and by an instance that breaks one
// off. Where an instance can be asked for what follows, the stream is whole once one has nothing to
// add. Otherwise it counts as whole if it has events: breaking each stream without a length would
// make such instances useless, and to repeat it could run it twice.
func (e streamEnd) verify() (outcome, error) {
	switch {
	case e.framing != upstream.FramingConnection:
		return delivered, nil
	case e.isContinuation && !e.hasReceived:
		return delivered, nil
	case e.events == 0 && !e.isContinuation:
		return incomplete, errNoEvents
	case e.events == 0 || e.resumable:
		return unconfirmed, errEndUnmarked
	}
	return delivered, nil
}

// checkStreamEnd is called when the instance has ended its stream. It returns an error unless that is
// the end of the client's stream as well.
func (c *call) checkStreamEnd(current *attempt) (outcome, error) {
	end := streamEnd{
		framing: current.framing, resumable: c.routing.route.Resumable && c.response.order.lastID != "",
		isContinuation: current.isContinuation, events: current.passed.count, hasReceived: current.hasReceived,
	}
	return end.verify()
}
