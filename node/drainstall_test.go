package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/result"
)

// startDrainable starts three nodes with a short drain timeout and calls that may
// take longer than it.
func startDrainable(t *testing.T) (system *deployment.Deployment, logs *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	return startSystem(t, deployment.Options{
		Zones: 3, Nodes: 3, Engines: 1, Logger: zap.New(core),
		NodeSettings: func(loaded *settings.Settings) { loaded.DrainTimeout = 10 * time.Second },
	}), logs
}

// stallBody sends the head of a call and a part of its body.
func stallBody(t *testing.T, at *node.Node, id string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", at.CallerAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST /v1/programs/%s/chat/completions HTTP/1.1\r\nHost: node\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", id, deployment.APIKey)
	assert.NilError(t, err)
	eventually(t, func() bool { return metric(t, at, "marblering_requests_in_flight", nil) == 1 }, "the request isn't in flight")
	return connection
}

// TestDrainOutlastsARequestWithoutItsBody guards against a client that sends no body and
// so leaves the handover of replicas without time, and gets no answer itself.
func TestDrainOutlastsARequestWithoutItsBody(t *testing.T) {
	system, logs := startDrainable(t)
	leaving := system.Nodes[1]
	connection := stallBody(t, leaving, createProgram(t, leaving, ""))
	drained := leaving.Drain()
	assert.Check(t, logs.FilterMessage("stopping before the handover of replicas completed").Len() == 0)
	assert.Check(t, logs.FilterMessage("request cut by the drain").Len() == 1)
	assert.ErrorContains(t, drained, "1 requests")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assertRefused(t, answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: body}, result.Draining)
	assert.Assert(t, response.Close)
}

// TestDrainAnswersACallWhoseEngineIsSilent guards against a call that outlasts the drain
// and ends without an answer. Another node takes it over.
func TestDrainAnswersACallWhoseEngineIsSilent(t *testing.T) {
	system, logs := startDrainable(t)
	leaving, other := system.Nodes[1], system.Nodes[2]
	id := createProgram(t, leaving, "")
	slow(system, frozen)
	header := func() http.Header {
		return http.Header{callerapi.HeaderKey: {"key-1"}, callerapi.HeaderRepeatable: {"true"}}
	}
	const body = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":16}`
	path := "/v1/programs/" + id + "/chat/completions"
	inFlight := make(chan answer, 1)
	go func() { inFlight <- send(http.MethodPost, "http://"+leaving.CallerAddress()+path, header(), body) }()
	eventually(t, func() bool { return completions(system)[id] == 1 }, "the call reached no engine")

	drained := leaving.Drain()
	assert.Check(t, logs.FilterMessage("stopping before the handover of replicas completed").Len() == 0)
	assert.Check(t, logs.FilterMessage("request cut by the drain").Len() == 1)
	assert.ErrorContains(t, drained, "1 requests")
	assertRefused(t, <-inFlight, result.OutcomeUnresolved)
	slow(system, 1)
	repeated := send(http.MethodPost, "http://"+other.CallerAddress()+path, header(), body)
	assert.Assert(t, isWhole(repeated), "%s", repeated.body)
}

// TestKeptConnectionIsRefusedDuringADrain guards against a request that waits, or ends
// without an answer, on a connection that was opened before the drain.
func TestKeptConnectionIsRefusedDuringADrain(t *testing.T) {
	system, _ := startDrainable(t)
	leaving := system.Nodes[1]
	id := createProgram(t, leaving, "")
	kept, err := net.Dial("tcp", leaving.CallerAddress())
	assert.NilError(t, err)
	defer kept.Close()
	reader := bufio.NewReader(kept)
	read := func() (*http.Response, answer) {
		_, err := fmt.Fprintf(kept, "GET /v1/programs/%s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\n\r\n", id, deployment.APIKey)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response, answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: body}
	}
	before, _ := read()
	assert.Equal(t, before.StatusCode, http.StatusOK)
	assert.Assert(t, !before.Close)
	stallBody(t, leaving, id)
	drained := make(chan error, 1)
	go func() { drained <- leaving.Drain() }()
	eventually(t, func() bool {
		other := send(http.MethodGet, "http://"+leaving.CallerAddress()+"/v1/programs/"+id, http.Header{}, "")
		return other.status == http.StatusServiceUnavailable
	}, "new requests are served")
	during, refusal := read()
	assertRefused(t, refusal, result.Draining)
	assert.Assert(t, during.Close)
	assert.ErrorContains(t, <-drained, "1 requests")
}
