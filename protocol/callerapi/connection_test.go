package callerapi_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/state/result"
)

const (
	streamBody   = `{"stream":true,"messages":[{"role":"user","content":"Which grind?"}]}`
	doneMark     = "[DONE]"
	generousWait = 30 * time.Second
)

// dial sends the start of a request on a connection of its own.
func dial(t *testing.T, url, body string, length int) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nIdempotency-Key: key-1\r\nContent-Length: %d\r\n\r\n%s",
		callPath, testKey, length, body)
	assert.NilError(t, err)
	return connection
}

// storingService runs a call once and repeats its answer for the same key. It
// gives out the context and sink of each run, and answers when told to.
type storingService struct {
	fakeService
	sinks  chan execution.Sink
	done   chan struct{}
	finish func() // lets the call end
	stored map[string]execution.Answer
	ctxErr error
}

func startStoringService(t *testing.T) (*storingService, *callerapi.Handler, *httptest.Server) {
	s := &storingService{sinks: make(chan execution.Sink), done: make(chan struct{}), stored: make(map[string]execution.Answer)}
	s.finish = sync.OnceFunc(func() { close(s.done) })
	s.answer = s.runOnce
	handler, server := startServer(t, &s.fakeService, nil)
	t.Cleanup(s.finish) // before the server closes, which waits for the call
	return s, handler, server
}

func (s *storingService) runOnce(ctx context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
	if answer, found := s.stored[request.Key]; found {
		answer.Replayed = true
		return answer, sink.Started(answer.Start)
	}
	answer := startedAnswer(request)
	answer.Content = "Medium, please."
	_ = sink.Started(answer.Start)
	_ = sink.Text("Medium")
	s.sinks <- sink
	<-s.done
	s.ctxErr = ctx.Err()
	s.stored[request.Key] = answer
	return answer, nil
}

// drain waits until nothing is in flight.
func drain(t *testing.T, handler *callerapi.Handler) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), generousWait)
	defer cancel()
	handler.Drain()
	assert.NilError(t, handler.Wait(ctx))
}

func waitForLoss(t *testing.T, sink execution.Sink) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(cmp.ErrorContains(sink.Text(""), "connection is lost"))
	}, poll.WithTimeout(generousWait))
}

func TestCallGoesOnAfterItsConnectionIsLost(t *testing.T) {
	service, handler, server := startStoringService(t)
	connection := dial(t, server.URL, streamBody, len(streamBody))
	sink := <-service.sinks
	assert.NilError(t, connection.Close())
	waitForLoss(t, sink)
	service.finish()
	drain(t, handler)
	assert.NilError(t, service.ctxErr)

	_, other := startServer(t, &service.fakeService, nil)
	for _, body := range []string{goodBody, streamBody} {
		response, content := send(t, http.MethodPost, other.URL+callPath, body, "Idempotency-Key: key-1")
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get(callerapi.HeaderReplayed), "true")
		assert.Check(t, cmp.Contains(content, `"content":"Medium, please."`))
		assert.Check(t, cmp.Contains(content, `"id":"chatcmpl-program-1-1"`))
		assert.Equal(t, strings.Contains(content, doneMark), body == streamBody)
		assert.Equal(t, response.Header.Get(callerapi.HeaderResult)+response.Trailer.Get(callerapi.HeaderResult), "0")
	}
}

func TestStalledReaderCountsAsLost(t *testing.T) {
	failed := make(chan error, 1)
	service := &fakeService{answer: func(_ context.Context, request execution.CallRequest, sink execution.Sink) (execution.Answer, error) {
		answer := startedAnswer(request)
		err := sink.Started(answer.Start)
		for piece := strings.Repeat("x", 1<<20); err == nil; {
			err = sink.Text(piece)
		}
		failed <- err
		return answer, nil
	}}
	_, server := startServer(t, service, func(options *callerapi.Options) { options.WriteTimeout = 50 * time.Millisecond })
	dial(t, server.URL, streamBody, len(streamBody))
	assert.ErrorContains(t, <-failed, "connection is lost")
}

func TestCutBodyNeverReachesTheService(t *testing.T) {
	service := &fakeService{}
	handler, server := startServer(t, service, func(options *callerapi.Options) { options.BodyTimeout = 50 * time.Millisecond })
	stalled := dial(t, server.URL, goodBody[:20], len(goodBody))
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	checkError(t, response, string(content), result.BadRequest, "couldn't be read to its end")

	cut := dial(t, server.URL, goodBody[:20], len(goodBody))
	assert.NilError(t, cut.Close())
	drain(t, handler)
	assert.Equal(t, len(service.recordedCalls()), 0)
}

func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	service, handler, server := startStoringService(t)
	connection := dial(t, server.URL, streamBody, len(streamBody))
	<-service.sinks
	handler.Drain()

	response, content := send(t, http.MethodGet, server.URL+programsPath+"/"+testProgram, "")
	checkError(t, response, content, result.Draining, "stopping")
	assert.Assert(t, response.Close)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorContains(t, handler.Wait(expired), "1 requests are still in flight")

	service.finish()
	drain(t, handler)
	whole, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	answer, err := io.ReadAll(whole.Body)
	assert.NilError(t, err)
	assert.Check(t, cmp.Contains(string(answer), doneMark))
}
