package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/transport/listener"
)

// serve serves the handler until the test ends.
func serve(t *testing.T, server *http.Server) *listener.Listener {
	t.Helper()
	opened, err := listener.Open("callers", "127.0.0.1:0", server)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- opened.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return opened
}

func connect(t *testing.T, opened *listener.Listener) *harness.CallerConnection {
	t.Helper()
	connection, err := harness.OpenCallerConnection(opened.Address())
	assert.NilError(t, err)
	t.Cleanup(connection.Close)
	return connection
}

func newRequest(id string) *harness.CallerRequest {
	return &harness.CallerRequest{ID: id, Host: "h", Path: "/", Body: "body", Patience: harness.Generous, Headers: map[string]string{"Id": id}}
}

func answer(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = writer.Write([]byte("whole"))
}

// TestRequestsThatCrossAStopAreAnsweredOrUnread guards against requests that are read, or
// even run, on connections that a stopping listener closes as idle.
func TestRequestsThatCrossAStopAreAnsweredOrUnread(t *testing.T) {
	t.Parallel()
	const rounds, clients = 20, 16
	for round := range rounds {
		var handled sync.Map
		opened := serve(t, &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			handled.Store(request.Header.Get("Id"), true)
			answer(writer, request)
		})})
		var running sync.WaitGroup
		var served atomic.Int64
		for client := range clients {
			connection := connect(t, opened)
			random := rand.New(rand.NewPCG(uint64(round), uint64(client)))
			running.Go(func() {
				for number := 0; connection.IsOpen(); number++ {
					request := newRequest(fmt.Sprintf("%d-%d", client, number))
					connection.Do(request)
					_, isHandled := handled.Load(request.ID)
					switch {
					case request.Ending == harness.EndedWhole:
						served.Add(1)
					case request.Ending != harness.EndedUnread || isHandled:
						t.Errorf("%v, handled %v", request, isHandled)
					}
					time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
				}
			})
		}
		harness.Eventually(t, func() (bool, string) { return served.Load() > clients, "no requests are served" })
		assert.NilError(t, opened.Shutdown(t.Context()))
		running.Wait()
	}
}

// TestStopClosesConnectionsWithoutARequestAtOnce guards against connections that stay open,
// and may bring requests, while another one has a long request.
func TestStopClosesConnectionsWithoutARequestAtOnce(t *testing.T) {
	t.Parallel()
	began, release := make(chan struct{}), make(chan struct{})
	opened := serve(t, &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Id") == "long" {
			close(began)
			<-release
		}
		answer(writer, request)
	})})
	unused, used, long := connect(t, opened), connect(t, opened), connect(t, opened)
	used.Do(newRequest("short"))
	request := newRequest("long")
	var client sync.WaitGroup
	client.Go(func() { long.Do(request) })
	<-began
	opened.StopAccepting()
	for _, connection := range []*harness.CallerConnection{unused, used} {
		harness.Eventually(t, func() (bool, string) { return !connection.IsOpen(), "a connection without a request is open" })
	}
	assert.ErrorIs(t, opened.AwaitDrained(canceled()), context.Canceled)
	close(release)
	client.Wait()
	assert.Equal(t, request.Ending, harness.EndedWhole)
	assert.NilError(t, opened.AwaitDrained(t.Context()))
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestHeaderThatNeverComesDoesNotDelayAStop covers clients that stall within a header.
func TestHeaderThatNeverComesDoesNotDelayAStop(t *testing.T) {
	t.Parallel()
	// A stop may find that the server hasn't read the first part yet.
	harness.Eventually(t, func() (bool, string) {
		opened := serve(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: time.Hour})
		var unhandled atomic.Int64
		opened.OnUnhandled = func(net.Addr) { unhandled.Add(1) }
		stalled, err := net.Dial("tcp", opened.Address())
		assert.NilError(t, err)
		defer stalled.Close()
		_, err = io.WriteString(stalled, "GET / HTTP/1.1\r\nHost:")
		assert.NilError(t, err)
		time.Sleep(time.Millisecond)
		assert.NilError(t, opened.Shutdown(t.Context()))
		return unhandled.Load() == 1, "no connection has ended within a header"
	})
}

// TestChangedTimeoutsApplyToOpenConnections guards against connections that keep the
// timeouts of the moment at which they were accepted.
func TestChangedTimeoutsApplyToOpenConnections(t *testing.T) {
	t.Parallel()
	const long, short = time.Hour, 50 * time.Millisecond
	for name, timeouts := range map[string]listener.Timeouts{
		"idle":   {Header: long, Idle: short},
		"header": {Header: short, Idle: long},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opened := serve(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: long, IdleTimeout: long})
			connection, err := net.Dial("tcp", opened.Address())
			assert.NilError(t, err)
			defer connection.Close()
			_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			if name == "header" {
				_, err = io.WriteString(connection, "GET / HTTP/1.1\r\n")
				assert.NilError(t, err)
			}
			opened.SetTimeouts(timeouts)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestLongBodyOutlivesTheHeaderTimeout guards against a header timeout that ends requests.
func TestLongBodyOutlivesTheHeaderTimeout(t *testing.T) {
	t.Parallel()
	const headerTimeout = 50 * time.Millisecond
	opened := serve(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout})
	connection, err := net.Dial("tcp", opened.Address())
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	assert.NilError(t, err)
	time.Sleep(3 * headerTimeout)
	_, err = io.WriteString(connection, "b")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// TestShutdownFinishesHTTP2 covers clients with prior knowledge of HTTP/2.
func TestShutdownFinishesHTTP2(t *testing.T) {
	t.Parallel()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	began, release := make(chan struct{}), make(chan struct{})
	opened := serve(t, &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(began)
		<-release
		assert.Check(t, request.ProtoMajor == 2)
		answer(writer, request)
	})})
	clientProtocols := &http.Protocols{}
	clientProtocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: clientProtocols}}
	answers := make(chan error, 1)
	go func() {
		response, err := client.Get("http://" + opened.Address())
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		answers <- err
	}()
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- opened.Shutdown(t.Context()) }()
	close(release)
	assert.NilError(t, <-answers)
	assert.NilError(t, <-stopped)
}
