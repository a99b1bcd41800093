package relay

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/numbering"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/transport/upstream"
)

// attempt is one try of a request at an instance.
type attempt struct {
	assignment *backend.Assignment
	started    time.Time
	// request is what was sent.
	request *upstream.Request
	// id identifies the send among those of all gateways.
	id quarantine.SendID
	// known is the number of crashes that were known when it was made.
	known int
	// isAnnounced is set if storage nodes know of the send.
	isAnnounced bool
	// isWithheld is set if the request wasn't sent since the instance may have been started
	// again. That says nothing about its health.
	isWithheld bool
	// timeToFirst is the time to the first event of a stream, or to the complete body (or
	// its buffered part) of another response; zero until then.
	timeToFirst time.Duration
	// status is the status of a response that isn't a stream; zero until it has arrived.
	status int
	// isContinuation is set if the client had events of the stream before.
	isContinuation bool
	// passed is what the attempt added to the client's stream.
	passed passedEvents
	// received are the numbers of the events that arrived, passed on or not.
	received numbering.Run
	// hasReceived is set once an event or a comment has arrived, passed on or not.
	hasReceived bool
	// framing is how the end of the response is marked; empty without a response.
	framing upstream.Framing
}

// recordProgress records that an event, or a response that isn't a stream, has arrived.
func (a *attempt) recordProgress(now time.Time) {
	if a.timeToFirst == 0 {
		a.timeToFirst = now.Sub(a.started)
	}
	a.assignment.RecordActivity()
}

// noteReceived notes the number of an event that has arrived.
func (a *attempt) noteReceived(next event) {
	switch {
	case next.number != "":
		a.received.Add(next.number)
	case next.hasData:
		a.received.AddUnnumbered()
	}
}

// healthOutcome returns what the attempt tells about the health of the instance.
func (a *attempt) healthOutcome(ended outcome, now time.Time) backend.Outcome {
	waited := now.Sub(a.started)
	if a.status == http.StatusGatewayTimeout {
		return backend.NoResponse{Wait: waited}
	}
	if a.isWithheld {
		return backend.Inconclusive{}
	}
	switch ended {
	case delivered, turnNotStored, unconfirmed:
		if a.timeToFirst == 0 {
			a.timeToFirst = waited
		}
		return backend.Completed{Wait: a.timeToFirst, ServerError: a.status >= http.StatusInternalServerError}
	case unsent, incomplete:
		return backend.Failed{}
	case abandoned:
		if a.timeToFirst == 0 {
			return backend.NoResponse{Wait: waited}
		}
	case refused:
	}
	return backend.Inconclusive{}
}
