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

	asked   asked
	basis   basis
	granted granted
	tried   tried
	reply   reply
	times   times
}

// asked is what the client asked for.
type asked struct {
	facts Facts
	// key is the digest of the API key that the client showed.
	key tenant.Digest
	// target is the path and query, byte for byte as they came.
	target string
	// body is what back ends get: the request's own, or that of its turn.
	body []byte
	// bodyTaken tells that the request's own body was read, at least in part.
	bodyTaken bool
}

// basis is the part of the configuration that the request is decided by.
type basis struct {
	// version is that of the configuration, age how long before the request came the
	// store confirmed it.
	version  int64
	age      time.Duration
	ageKnown bool
	route    *routetable.Route
	// needsKey tells that the route asks for a key.
	needsKey bool
}

// granted is what the request may use.
type granted struct {
	// tenant is the owner of the key; nil where the route needs none.
	tenant *tenant.Tenant
	// permit is that of the tenant's quota.
	permit quota.Permit
	// turn is set for turns of programs whose state is kept.
	turn *conversation.Turn
}

// tried is what the attempts have come to.
type tried struct {
	// instances are the ids of those that were chosen, in order.
	instances []string
	// sends is to how many of them the request was sent, detours to how many it wasn't.
	sends, detours int
	// reached tells that a back end was sent the request and didn't promise that it
	// hadn't run it.
	reached bool
	// mayHaveRun tells that no answer says whether a back end ran the request.
	mayHaveRun bool
}

// count notes what the end of an attempt says about the request.
func (t *tried) count(ended outcome) {
	switch ended {
	case unreached:
		t.detours++
	case refused:
		t.sends++
	case delivered, abandoned:
		t.sends++
		t.reached = true
	case lost, unstored:
		t.sends++
		t.reached, t.mayHaveRun = true, true
	}
}

// reply is what the client was answered.
type reply struct {
	// began tells that the head of the answer was written.
	began bool
	// lastEvent is the id of the last event that was passed on; empty for none.
	lastEvent string
	status    int
	code      result.Code
	// reason says why the request has failed.
	reason string
}

// times are for the deadline and the log.
type times struct {
	arrived, deadline time.Time
	// permitted is how long the permit was waited for.
	permitted time.Duration
	// prepared is when the request could be sent to a back end, counted from its
	// arrival: its body read and, for a turn, what came before it and its part of
	// the budget there.
	prepared time.Duration
	// firstByte is when the head of the answer was written, counted from the arrival.
	firstByte time.Duration
	// stored is how long the end of a turn took to be kept.
	stored time.Duration
}

// allowed is the time that the request had; zero before its route was found.
func (t *times) allowed() time.Duration {
	if t.deadline.IsZero() {
		return 0
	}
	return t.deadline.Sub(t.arrived)
}
