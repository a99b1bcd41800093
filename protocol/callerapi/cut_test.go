package callerapi_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

// cut drains the handler and cuts what is in flight, with the time to write answers.
func cut(t *testing.T, handler *callerapi.Handler, inFlight int, writing time.Duration) {
	t.Helper()
	handler.Drain()
	assert.Equal(t, handler.Cut(time.Now().Add(writing)), inFlight)
	ctx, cancel := context.WithTimeout(context.Background(), generousWait)
	defer cancel()
	assert.NilError(t, handler.Wait(ctx))
}

// TestCutEndsACallWithoutItsEngine guards against a call that is cut without an answer, or
// with one that says more than is known.
func TestCutEndsACallWithoutItsEngine(t *testing.T) {
	arrived := make(chan struct{})
	service := &fakeService{answer: func(ctx context.Context, _ execution.CallRequest, _ execution.Sink) (execution.Answer, error) {
		close(arrived)
		<-ctx.Done()
		assert.Check(t, context.Cause(ctx) == execution.ErrStopping)
		return execution.Answer{}, ctx.Err()
	}}
	handler, server := startServer(t, service, nil)
	connection := dial(t, server.URL, goodBody, len(goodBody))
	<-arrived
	cut(t, handler, 1, generousWait)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	checkError(t, response, string(content), result.OutcomeUnresolved, "stopped waiting")
	assert.Assert(t, response.Close)
}

// TestCutEndsAStreamOfAStalledReader guards against a client that reads nothing and keeps
// its request in flight for the whole write timeout.
func TestCutEndsAStreamOfAStalledReader(t *testing.T) {
	started := make(chan struct{})
	service := &fakeService{answer: func(ctx context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
		answer := startedAnswer(request)
		err := sink.Started(answer.Start)
		close(started)
		for piece := strings.Repeat("x", 1<<20); err == nil; {
			err = sink.Text(piece)
		}
		<-ctx.Done()
		return execution.Answer{}, err
	}}
	handler, server := startServer(t, service, func(options *callerapi.Options) { options.WriteTimeout = time.Hour })
	dial(t, server.URL, streamBody, len(streamBody))
	<-started
	cut(t, handler, 1, 50*time.Millisecond)
}

// TestCutRefusesARequestWithoutItsBody: with a key of the caller's, an earlier request may
// have run.
func TestCutRefusesARequestWithoutItsBody(t *testing.T) {
	service := &fakeService{}
	handler, server := startServer(t, service, nil)
	connection := dial(t, server.URL, goodBody[:20], len(goodBody))
	for handler.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut(t, handler, 1, generousWait)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	checkError(t, response, string(content), result.OutcomeUnresolved, "this node is stopping")
	assert.Assert(t, response.Close)
	assert.Equal(t, len(service.recordedCalls()), 0)
}
