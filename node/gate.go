package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	// notReadyRetry is the pause that a caller is asked for by a node that has no
	// configuration or shard map yet.
	notReadyRetry = 2 * time.Second
	// drainingRetry is the pause before a caller asks another node, or this one again.
	drainingRetry = time.Second
	// operationGate is how the metrics name a request that the gate refused.
	operationGate = "gate"
)

// callerGate decides whether a request reaches the callers' API. It refuses all
// requests until the node knows the tenants and the shards, so that it never
// refuses a key as wrong that it only doesn't know yet. It refuses them while the
// node is ordered to drain, and those whose body is longer than the configuration
// in force allows.
type callerGate struct {
	handler http.Handler
	// ready returns what the node still waits for, or nil. After nil it isn't
	// asked again, since a node never loses its configuration.
	ready func() error
	// draining tells whether an operator ordered this node to drain.
	draining func() bool
	// bodyLimit returns the greatest size of a body in bytes that the
	// configuration in force allows. The callers' API checks that of the settings.
	bodyLimit func() int64
	observer  callerapi.Observer
	// open is set once ready returned nil.
	open atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *callerGate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if refusal := g.closed(); refusal != nil {
		g.refuse(writer, callerapi.Unrecorded(refusal, request.Header))
		return
	}
	limit := g.bodyLimit()
	if request.ContentLength > limit {
		g.refuse(writer, result.Errorf(result.TooLarge, "the body has %d bytes of at most %d", request.ContentLength, limit))
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, limit)
	g.handler.ServeHTTP(writer, request)
}

// closed returns why the node takes no request at all; nil where it takes them.
func (g *callerGate) closed() *result.Error {
	if !g.open.Load() {
		if err := g.ready(); err != nil {
			return result.Errorf(result.NotReady, "this node is starting: %v", err).WithRetryAfter(notReadyRetry)
		}
		g.open.Store(true)
	}
	if g.draining() {
		return result.Errorf(result.Draining, "this node drains by an operator's order").WithRetryAfter(drainingRetry)
	}
	return nil
}

// refuse answers with the error as the callers' API does, and closes the
// connection.
func (g *callerGate) refuse(writer http.ResponseWriter, refusal *result.Error) {
	answer := refusal.Response(0)
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	header.Set(callerapi.HeaderResult, strconv.FormatUint(uint64(refusal.Code), 10))
	answer.SetRetryAfter(header)
	writer.WriteHeader(answer.Status)
	// A write fails where the caller is gone: there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(answer.Body)
	g.observer.Observe(callerapi.Observation{Operation: operationGate, Code: refusal.Code})
}
