package relay

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/state/result"
)

// maxUnsent is how many instances, beyond the first, a request may find that can't be
// connected to, or whose address another instance has. Such tries cost the back ends
// nothing, so that the route's attempts and the retry budget don't bound them. Chosen, not
// measured.
const maxUnsent = 4

// RetryPolicy is the retry budget of a gateway. Its figures are chosen, not measured. The
// budget doesn't begin empty, since a gateway that had just started retried nothing then. A
// higher rate was ruled out: a lasting failure would multiply the load.
func RetryPolicy() limit.RetryPolicy {
	return limit.RetryPolicy{
		Ratio:        0.2, // retries for each request
		MinPerSecond: 4,   // retries a second
		Burst:        40,  // retries
		Saved:        20,  // retries
	}
}

// attemptEnd is what is known of a request once an attempt has ended without delivering
// the answer.
type attemptEnd struct {
	// ended is how the attempt ended, cause why.
	ended outcome
	cause error
	// clientGone tells that the client closed its connection, isOver that it did or that
	// the request's time has passed.
	clientGone, isOver bool
	// began tells that the head of an answer was written to the client.
	began bool
	// mayHaveRun tells that some back end may have run the request.
	mayHaveRun bool
	// sends is to how many instances the request was sent, unsent how many were tried
	// without.
	sends, unsent int
	// attempts is to how many instances the route allows to send a request, repeatable
	// whether one that may have run may be sent again, resumable whether a stream that
	// broke may be continued by another instance.
	attempts              int
	repeatable, resumable bool
	// allowed is how long the client or the route let the request take.
	allowed time.Duration
}

// nextStep is what follows such an end: tryAnother, refuse or cut.
type nextStep interface{ nextStep() }

// tryAnother sends the request to another instance.
type tryAnother struct {
	// spends tells that it counts as a retry: without one left in the retry budget the
	// request is given up instead.
	spends bool
}

// refuse answers the client with the failure.
type refuse struct{ failure *result.Error }

// cut breaks the client's connection, so that what was written doesn't look whole. Code
// and cause are for the log.
type cut struct {
	code  result.Code
	cause error
}

func (tryAnother) nextStep() {}
func (refuse) nextStep()     {}
func (cut) nextStep()        {}

// next decides whether the request is tried again.
//
// Nothing is tried for a client that has left or whose time is over, nor where the answer
// came whole and only its turn couldn't be stored. What was never sent is tried
// elsewhere, at maxUnsent+1 instances at most. What was sent and perhaps run is sent again
// only where the route says that this does no harm; a stream that the client has begun
// to get only where it can be resumed. Within that the route's attempts and the retry
// budget bound the load that failures add.
func (e attemptEnd) next() nextStep {
	switch {
	case e.ended == abandoned || e.ended == unstored || e.isOver:
		return e.giveUp()
	case e.ended == unsent && e.unsent <= maxUnsent:
		return tryAnother{}
	case e.ended == unsent,
		e.ended == lost && !e.repeatable,
		e.began && !e.resumable,
		e.sends >= e.attempts:
		return e.giveUp()
	}
	return tryAnother{spends: true}
}

// giveUp decides how the client is told that there is no answer.
//
// Once a part of the answer is written, only breaking the connection tells that it isn't
// whole. Where some back end may have run the request, the answer promises nothing (502, or
// 504 once the time is over). Everywhere else it promises that the request hasn't run
// and says when to come back (503): also when the time is over, since a client may then
// repeat what must not run twice.
func (e attemptEnd) giveUp() nextStep {
	switch {
	case e.clientGone:
		return cut{result.ClientGone, context.Canceled}
	case e.began:
		return cut{result.BackendFailed, e.cause}
	case e.mayHaveRun && e.isOver:
		return refuse{result.Errorf(result.BackendTimeout, "no answer within %s", e.allowed)}
	case e.mayHaveRun:
		return refuse{result.Errorf(result.BackendFailed, "%v", e.cause)}
	case e.ended == refused:
		return refuse{busyBackends.errorf("%v", e.cause)}
	}
	return refuse{noBackend.errorf("%v", e.cause)}
}
