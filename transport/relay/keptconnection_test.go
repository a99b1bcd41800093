package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// unsentUpstream fails to send all requests.
type unsentUpstream struct{}

func (unsentUpstream) Do(context.Context, *upstream.Request) (*upstream.Response, error) {
	return nil, &upstream.Error{Stage: upstream.StageDial, Cause: syscall.ECONNREFUSED}
}

func (unsentUpstream) Check(context.Context, *upstream.Request, upstream.Look) upstream.Life {
	return upstream.LifeEnded
}

// serveOverTCP serves the paths below /r/ of shop.example, with the timeout of their route.
func serveOverTCP(t *testing.T, timeout time.Duration) (address string) {
	t.Helper()
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/r/", Kind: routetable.Unsafe, Timeout: timeout, Attempts: 1,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.ActiveTable{}
	tables.Install(table)
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}})
	server := httptest.NewServer(relay.New(relay.Options{
		Tables: tables, Backends: pool, Upstream: unsentUpstream{}, Crashes: noCrashes{}, HeaderCodec: plainHeaderCodec{},
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return false }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), AccessLogger: zap.NewNop(), Now: time.Now,
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// sendPart sends the head of a request and the first of its two body bytes.
func sendPart(t *testing.T, address string) (connection net.Conn, reader *bufio.Reader) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(connection, "POST /r/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\na")
	assert.NilError(t, err)
	return connection, bufio.NewReader(connection)
}

// readWhole reads a response to its end.
func readWhole(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response
}

// TestMissingBodyDelaysNoResponse guards against a response that waits for the rest of a body
// that doesn't come, beyond the timeout of the route.
func TestMissingBodyDelaysNoResponse(t *testing.T) {
	_, reader := sendPart(t, serveOverTCP(t, 200*time.Millisecond))
	response := readWhole(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
}

// TestRequestAfterALateBodyIsAnswered guards against connections that stay open after a body
// came too late: net/http takes the client for gone since the read that failed, and the
// requests that follow end without a response.
func TestRequestAfterALateBodyIsAnswered(t *testing.T) {
	connection, reader := sendPart(t, serveOverTCP(t, 200*time.Millisecond))
	time.Sleep(400 * time.Millisecond)
	_, err := io.WriteString(connection, "b")
	assert.NilError(t, err)
	response := readWhole(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	if response.Close {
		return
	}
	_, err = io.WriteString(connection, "POST /r/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\nab")
	assert.NilError(t, err)
	assert.Equal(t, readWhole(t, reader).StatusCode, http.StatusServiceUnavailable)
}
