package relay

import (
	"strconv"
	"time"

	"github.com/marblering/marblering/state/result"
)

const (
	// retryDelay is the delay asked of a client where another attempt may find a free
	// backend, free capacity or a gateway with a newer configuration.
	retryDelay = 150 * time.Millisecond
	// startupRetryDelay is the delay while the gateway starts or waits for the store. It
	// is longer, so that a client's few attempts span more than a second.
	startupRetryDelay = 400 * time.Millisecond
	// resolveDelay is the delay until the outcome of earlier sends is likely known.
	resolveDelay = 500 * time.Millisecond
	// otherGatewayDelay is the delay where any other gateway may serve the request.
	otherGatewayDelay = 60 * time.Millisecond
)

// unavailableReason is why a request is rejected before it has run, though the client may
// retry it later.
type unavailableReason int

const (
	// overloaded: the gateway has reached its limit of requests in flight.
	overloaded unavailableReason = iota
	// noConfiguration: the gateway has just started and has no configuration yet.
	noConfiguration
	// outdatedConfiguration: the configuration lacks the route or the key, but may be out
	// of date.
	outdatedConfiguration
	// unconfirmedConfiguration: the key may have been revoked since the configuration was
	// last confirmed to be the newest.
	unconfirmedConfiguration
	// slowBody: the client didn't send the whole body in time.
	slowBody
	// resumedRetainedTurn: the client resumes a turn that has to be stored as a whole.
	resumedRetainedTurn
	// unreadableOrigin: storage nodes that may know where a resumed stream began don't
	// answer.
	unreadableOrigin
	// busyBackends: every backend that got the request refused it.
	busyBackends
	// noBackend: no backend was available or could be connected to.
	noBackend
	// unresolvedSends: too many back ends may have ended under the request.
	unresolvedSends
	// stopping: the gateway may end before the response is complete.
	stopping
)

// errorf returns the error for the client, with the result code of the reason and the
// delay before a retry. The delay is longer for conditions that only the store can end,
// a missing or unconfirmed configuration.
func (r unavailableReason) errorf(format string, args ...any) *result.Error {
	code, delay := r.codeAndDelay()
	return result.Errorf(code, format, args...).WithRetryAfter(delay)
}

func (r unavailableReason) codeAndDelay() (code result.Code, delay time.Duration) {
	switch r {
	case overloaded:
		return result.Overloaded, retryDelay
	case noConfiguration:
		return result.NotReady, startupRetryDelay
	case outdatedConfiguration:
		return result.NotReady, retryDelay
	case unconfirmedConfiguration:
		return result.ConfigurationStale, startupRetryDelay
	case slowBody:
		return result.BodyTimeout, retryDelay
	case resumedRetainedTurn:
		return result.HistoryUnavailable, retryDelay
	case unreadableOrigin:
		return result.NoQuorum, retryDelay
	case busyBackends:
		return result.BackendBusy, retryDelay
	case unresolvedSends:
		return result.SendsUnresolved, resolveDelay
	case stopping:
		return result.Draining, otherGatewayDelay
	}
	return result.NoBackend, retryDelay
}

// retryAfter formats the value of Retry-After, in seconds with three decimals. A jitter
// between zero and the delay spreads it from 0.5 to 1.5 times the delay, so that clients
// that were rejected together don't retry together.
func retryAfter(delay, jitter time.Duration) string {
	spread := delay/2 + jitter
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
