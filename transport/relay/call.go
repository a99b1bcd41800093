package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/result"
)

// call is the state of a request in flight.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends with the client's connection, or when cancel ends the request.
	ctx    context.Context
	cancel context.CancelCauseFunc

	input    input
	routing  routing
	stream   stream
	grants   grants
	attempts attempts
	response response
	timing   timing
}

// stop ends the request since the process ends. A client that doesn't read can't delay it
// beyond writeTimeout.
func (c *call) stop(writeTimeout time.Duration) {
	c.cancel(errStopped)
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// input is what the client sent.
type input struct {
	info RequestInfo
	// key is the digest of the client's API key.
	key tenant.Digest
	// target is the path and query, unchanged.
	target string
	// received is the body of the request, body the one sent to backends: the same or, for a
	// turn, one built from it and the turns before.
	received, body []byte
	// fingerprint is zero until it is needed, see call.fingerprint.
	fingerprint quarantine.Fingerprint
	// bodyRead tells that the body of the request was read or discarded.
	bodyRead bool
}

// routing is the part of the configuration that applies to the request.
type routing struct {
	configVersion int64
	// configAge is the time between the store's last confirmation of the configuration and
	// the arrival of the request.
	configAge      time.Duration
	configAgeKnown bool
	route          *routetable.Route
	// needsKey tells that the route requires an API key.
	needsKey bool
}

// grants holds what was acquired for the request.
type grants struct {
	// tenant is the owner of the key; nil if the route needs none.
	tenant *tenant.Tenant
	// permit is taken from the tenant's quota.
	permit quota.Permit
	// turn is set if the request is a turn with a token budget or retained history.
	turn *conversation.Turn
}

// attempts sums up the attempts so far.
type attempts struct {
	// instances are the ids of the selected instances, in order.
	instances []string
	// versions are the software versions of these instances.
	versions []string
	// runs describes what each attempt added to a stream.
	runs []streamRun
	// sends counts the attempts in which the request was sent, unsent the others.
	sends, unsent int
	// reachedBackend tells that the request was sent to a backend that didn't refuse it.
	reachedBackend bool
	// suspicion is what is known of the sends of the request, in this and earlier tries of its
	// client.
	suspicion quarantine.Suspicion
	// unused is an announced send that counts no more: it was not made, or its instance has
	// refused it or answered wrongly. Zero for none.
	unused quarantine.SendID
	// isUnconfirmed tells that the last attempt ended a stream of which the same instance can be
	// asked what follows.
	isUnconfirmed bool
	// mayHaveRun tells that a backend may have run the request and no complete response was
	// delivered.
	mayHaveRun bool
	// settling are the reports of sends to the other gateways that run.
	settling sync.WaitGroup
	// undecided are the sends whose instances may be about to end, deciding the checks of them
	// that run.
	undecided []*watchedSend
	deciding  sync.WaitGroup
	// keepDeciding has the functions that let these checks go on after the call.
	keepDeciding []func() bool
}

// decideAfterCall lets checks that run go on after the end of the call.
func (a *attempts) decideAfterCall() {
	for _, keep := range a.keepDeciding {
		keep()
	}
}

// triedBeforeLast returns the ids of the instances that were tried, but for the last one.
func (a *attempts) triedBeforeLast() []string {
	last := a.instances[len(a.instances)-1]
	return slices.DeleteFunc(slices.Clone(a.instances), func(id string) bool { return id == last })
}

// record adds the outcome of an attempt.
func (a *attempts) record(ended outcome) {
	a.isUnconfirmed = ended == unconfirmed
	switch ended {
	case unsent:
		a.unsent++
	case refused:
		a.sends++
	case delivered, abandoned:
		a.sends++
		a.reachedBackend = true
	case incomplete, turnNotStored, unconfirmed:
		a.sends++
		a.reachedBackend, a.mayHaveRun = true, true
	}
}

// response is the state of the response to the client.
type response struct {
	headerWritten bool
	// order is the place in the stream that the client has reached.
	order  eventOrder
	status int
	code   result.Code
	// reason is the error message of a failed request.
	reason string
	// noQuorum is set if the request's turn found no quorum of replicas.
	noQuorum *turnstore.NoQuorumError
}

// timing holds the deadline of a request and the durations for its log line.
type timing struct {
	arrived, deadline time.Time
	// permitWait is the time to get a permit of the quota.
	permitWait time.Duration
	// prepared is the time from the arrival until the request is ready to be sent to a
	// backend: its body read and, for a turn, its history read and its tokens reserved.
	prepared time.Duration
	// firstByte is the time from the arrival until the response header is written.
	firstByte time.Duration
	// storeTime is the time to store a completed turn.
	storeTime time.Duration
}

// timeout is the time allowed for the request; zero until its route is known.
func (t *timing) timeout() time.Duration {
	if t.deadline.IsZero() {
		return 0
	}
	return t.deadline.Sub(t.arrived)
}
