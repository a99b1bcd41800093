package relay

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/state/result"
)

// maxUnsent is the maximum number of retries after attempts in which the request wasn't
// sent: the connection failed, or the address belongs to another instance. Such attempts
// cause no load on backends and count neither as attempts of the route nor against the
// retry budget.
const maxUnsent = 4

// RetryPolicy returns the retry budget of a gateway. The budget starts with some retries,
// so that a gateway can retry right after its start; its ratio is low, since a lasting
// failure would multiply the load otherwise.
func RetryPolicy() limit.RetryPolicy {
	return limit.RetryPolicy{
		Ratio:          0.2, // retries for each request
		MinPerSecond:   4,   // retries a second
		Burst:          40,  // retries
		InitialRetries: 20,  // retries
	}
}

// attemptResult is the state of a request after an attempt that didn't deliver the
// response.
type attemptResult struct {
	outcome outcome
	// cause is the error that ended the attempt.
	cause error
	// clientGone tells that the client closed its connection, isDone that it did or that
	// the deadline of the request has passed.
	clientGone, isDone bool
	// isStopped tells that the end of the process ended the attempt.
	isStopped bool
	// headerWritten tells that a response header was written to the client.
	headerWritten bool
	// mayHaveRun tells that a backend may have run the request.
	mayHaveRun bool
	// sends counts the attempts in which the request was sent to an instance, unsent the
	// others.
	sends, unsent int
	// suspicion is what is known of the sends of the request, those of earlier tries included.
	suspicion quarantine.Suspicion
	// maxAttempts is the route's limit of sends, repeatable whether a request that may have
	// run may be sent again, resumable whether another instance can continue a broken
	// stream.
	maxAttempts           int
	repeatable, resumable bool
	// timeout is the time allowed for the whole request by the client and the route.
	timeout time.Duration
}

// nextStep follows a failed attempt: tryNextInstance, sendError or abortConnection.
type nextStep interface{ nextStep() }

// tryNextInstance sends the request to another instance.
type tryNextInstance struct {
	// usesRetryBudget tells that the attempt takes a retry from the budget. The request is
	// given up if the budget is empty.
	usesRetryBudget bool
}

// sendError responds to the client with the failure.
type sendError struct{ failure *result.Error }

// abortConnection closes the client's connection, so that a partial response isn't taken
// for a complete one. Code and cause are for the log.
type abortConnection struct {
	code  result.Code
	cause error
}

func (tryNextInstance) nextStep() {}
func (sendError) nextStep()       {}
func (abortConnection) nextStep() {}

// next decides whether the request is retried.
//
// There is no retry if the client is gone, the deadline has passed or only the turn couldn't
// be stored after a complete response. A request that wasn't sent is retried at up to
// maxUnsent other instances. One that may have run is sent again only if its route is
// repeatable, and one whose response has begun only if its stream is resumable and its events have ids.
// One whose answer is too large is given up. One under
// which too many instances have crashed, or may have, isn't sent to another. The route's attempts and the
// retry budget limit the additional load. To ask what follows a stream whose end nothing marks takes
// none: nothing has failed.
func (e attemptResult) next() nextStep {
	switch {
	case e.outcome == abandoned || e.outcome == turnNotStored || e.isDone:
		return e.giveUp()
	case e.outcome == unsent && e.unsent <= maxUnsent:
		return tryNextInstance{}
	case e.outcome == unsent,
		e.outcome == incomplete && !e.repeatable,
		e.headerWritten && !e.resumable,
		errors.Is(e.cause, errNoEventID),
		isAnswerTooLarge(e.cause, e.headerWritten),
		quarantine.IsQuarantined(e.suspicion.Suspected),
		e.sends >= e.maxAttempts:
		return e.giveUp()
	}
	return tryNextInstance{usesRetryBudget: e.outcome != unconfirmed}
}

// giveUp decides how to report the failure to the client.
//
// Once a response header is written, only closing the connection shows that the response is
// incomplete. If a backend may have run the request, the response is 502, or 504 after the
// deadline. Otherwise it is 503 with a retry delay, also after the deadline, so that a
// client may safely repeat a request that must not run twice.
func (e attemptResult) giveUp() nextStep {
	switch {
	case e.isStopped && e.headerWritten:
		return abortConnection{result.NodeStopped, errStopped}
	case e.isStopped && e.mayHaveRun:
		return sendError{result.Errorf(result.NodeStopped, "%v", errStopped)}
	case e.isStopped:
		return sendError{stopping.errorf("%v", errStopped)}
	case e.clientGone:
		return abortConnection{result.ClientGone, context.Canceled}
	case e.headerWritten && errors.Is(e.cause, errVersionGone):
		return abortConnection{result.StreamVersionGone, e.cause}
	case e.headerWritten:
		return abortConnection{result.BackendFailed, e.cause}
	case quarantine.IsQuarantined(e.suspicion.Crashes) && e.mayHaveRun:
		return sendError{result.Errorf(result.BackendFailed, "%d back ends have ended under the request: %v", e.suspicion.Crashes, e.cause)}
	case e.mayHaveRun && e.isDone:
		return sendError{result.Errorf(result.BackendTimeout, "no answer within %s", e.timeout)}
	case e.mayHaveRun:
		return sendError{result.Errorf(result.BackendFailed, "%v", e.cause)}
	case errors.Is(e.cause, errVersionGone):
		return sendError{result.Errorf(result.StreamVersionGone, "%v", e.cause)}
	case e.outcome == refused:
		return sendError{busyBackends.errorf("%v", e.cause)}
	}
	return sendError{noBackend.errorf("%v", e.cause)}
}
