package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	// notReadyRetry is the pause that a caller is asked for by a node that has
	// no configuration or shard map yet: about the time that a start takes.
	notReadyRetry = 2 * time.Second
	// operationGate is how the metrics name a request that the gate refused.
	operationGate = "gate"
)

// callerGate stands before the caller API. It refuses every request until the
// node knows the tenants and the shards, so that a key that isn't known yet
// isn't called wrong; then it keeps bodies within the configured limit.
type callerGate struct {
	handler http.Handler
	// ready returns what the node still waits for, or nil. It isn't asked again
	// after that: a configuration never reverts.
	ready func() error
	// bodyLimit is the greatest size of a body in bytes by the configuration in
	// force; the caller API has the limit of the settings.
	bodyLimit func() int64
	observer  callerapi.Observer
	open      atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *callerGate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !g.open.Load() {
		if err := g.ready(); err != nil {
			g.refuse(writer, result.Errorf(result.NotReady, "this node is starting: %v", err).After(notReadyRetry))
			return
		}
		g.open.Store(true)
	}
	limit := g.bodyLimit()
	if request.ContentLength > limit {
		g.refuse(writer, result.Errorf(result.TooLarge, "the body has %d bytes of at most %d", request.ContentLength, limit))
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, limit)
	g.handler.ServeHTTP(writer, request)
}

// refuse answers as the caller API does, and closes the connection.
func (g *callerGate) refuse(writer http.ResponseWriter, refusal *result.Error) {
	info := refusal.Code.Info()
	seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	header.Set(callerapi.HeaderResult, strconv.FormatUint(uint64(info.Code), 10))
	if seconds > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writer.WriteHeader(info.HTTP)
	// A failed write means that the caller left; nobody is there to be told.
	_ = json.NewEncoder(writer).Encode(callerapi.ErrorBody{Error: callerapi.ErrorDetail{
		Code:              info.Code,
		Type:              info.Name,
		Message:           refusal.Message,
		Execution:         info.Execution,
		Repeat:            info.Repeat,
		RetryAfterSeconds: seconds,
	}})
	g.observer.Observe(callerapi.Observation{Operation: operationGate, Code: info.Code})
}
