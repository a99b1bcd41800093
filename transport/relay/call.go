package relay

import (
	"net/http"
	"time"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
)

// call is one request under way.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request

	input    input
	routing  routing
	grants   grants
	attempts attempts
	response response
	timing   timing
}

// input is what the client input for.
type input struct {
	facts Facts
	// key is the digest of the API key that the client showed.
	key tenant.Digest
	// target is the path and query, byte for byte as they came.
	target string
	// body is what back ends get: the request's own, or that of its turn.
	body []byte
	// bodyRead tells that the request's own body was read, at least in part.
	bodyRead bool
}

// routing is the part of the configuration that the request is decided by.
type routing struct {
	// configVersion is that of the configuration, age how long before the request came the
	// store confirmed it.
	configVersion  int64
	configAge      time.Duration
	configAgeKnown bool
	route          *routetable.Route
	// needsKey tells that the route asks for a key.
	needsKey bool
}

// grants is what the request may use.
type grants struct {
	// tenant is the owner of the key; nil where the route needs none.
	tenant *tenant.Tenant
	// permit is that of the tenant's quota.
	permit quota.Permit
	// turn is set for turns of programs whose state is kept.
	turn *conversation.Turn
}

// attempts is what the attempts have come to.
type attempts struct {
	// instances are the ids of those that were chosen, in order.
	instances []string
	// sends is to how many of them the request was sent, unsent to how many it wasn't.
	sends, unsent int
	// reachedBackend tells that a back end was sent the request and didn't promise that it
	// hadn't run it.
	reachedBackend bool
	// mayHaveRun tells that no answer says whether a back end ran the request.
	mayHaveRun bool
}

// record notes what the end of an attempt says about the request.
func (t *attempts) record(ended outcome) {
	switch ended {
	case unsent:
		t.unsent++
	case refused:
		t.sends++
	case delivered, abandoned:
		t.sends++
		t.reachedBackend = true
	case incomplete, turnNotStored:
		t.sends++
		t.reachedBackend, t.mayHaveRun = true, true
	}
}

// response is what the client was answered.
type response struct {
	// headerWritten tells that the head of the answer was written.
	headerWritten bool
	// lastEventID is the id of the last event that was passed on; empty for none.
	lastEventID string
	status      int
	code        result.Code
	// reason says why the request has failed.
	reason string
}

// timing are for the deadline and the log.
type timing struct {
	arrived, deadline time.Time
	// permitWait is how long the permit was waited for.
	permitWait time.Duration
	// prepared is when the request could be sent to a back end, counted from its
	// arrival: its body read and, for a turn, what came before it and its part of
	// the budget there.
	prepared time.Duration
	// firstByte is when the head of the answer was written, counted from the arrival.
	firstByte time.Duration
	// storeTime is how long the end of a turn took to be kept.
	storeTime time.Duration
}

// timeout is the time that the request had; zero before its route was found.
func (t *timing) timeout() time.Duration {
	if t.deadline.IsZero() {
		return 0
	}
	return t.deadline.Sub(t.arrived)
}
