package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// streamGateway is a gateway before backends that write streams.
type streamGateway struct {
	url      string
	logs     *observer.ObservedLogs
	registry *prometheus.Registry
}

// newStreamGateway starts a gateway with a route of the kind and one backend for each function,
// which writes the body of its streams. Backends are tried in this order.
func newStreamGateway(t *testing.T, kind routetable.Kind, streams ...func(w http.ResponseWriter)) *streamGateway {
	t.Helper()
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/r/", Kind: kind, Timeout: 20 * time.Second, Attempts: len(streams),
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.ActiveTable{}
	tables.Install(table)
	var tried int
	backends := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		tried++
		streams[tried-1](w)
	}))
	t.Cleanup(backends.Close)
	var instances []backend.Instance
	for index := range streams {
		instances = append(instances, backend.Instance{ID: fmt.Sprint("i-", index), Service: "app", Address: strings.TrimPrefix(backends.URL, "http://")})
	}
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace(instances)
	core, logs := observer.New(zap.InfoLevel)
	g := &streamGateway{logs: logs, registry: prometheus.NewRegistry()}
	server := httptest.NewServer(relay.New(relay.Options{
		Tables: tables, Backends: pool, Upstream: upstream.NewClient(upstream.DefaultSettings(), time.Now), Crashes: noCrashes{}, HeaderCodec: plainHeaderCodec{},
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return false }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(g.registry), Logger: zap.New(core), AccessLogger: zap.NewNop(), Now: time.Now,
	}))
	t.Cleanup(server.Close)
	g.url = server.URL + "/r/x"
	return g
}

// get returns the status and the body, and the error that ended it.
func (g *streamGateway) get(t *testing.T) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, g.url, nil)
	assert.NilError(t, err)
	request.Host = "shop.example"
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

const (
	someComments = ": alive\n\n: alive\r\n\r\n\n"
	someEvents   = "id: 1\ndata: one\n\n: between\n\nid: 2\ndata: two\n\n"
)

func writeComments(w http.ResponseWriter) {
	for range 100_000 {
		if _, err := io.WriteString(w, ": alive\n\n"); err != nil {
			return
		}
	}
}

// TestCommentsKeepTheirPlace guards against comments of a stream that are lost, before its first
// event, between two events, after the last one and in a stream without events.
func TestCommentsKeepTheirPlace(t *testing.T) {
	for _, stream := range []string{someComments + someEvents + someComments, someComments, "", someEvents} {
		g := newStreamGateway(t, routetable.Unsafe, func(w http.ResponseWriter) { _, _ = io.WriteString(w, stream) })
		status, body, err := g.get(t)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, stream)
	}
}

// TestStreamThatBreaksAfterCommentsIsTriedElsewhere guards against a request that fails since
// comments of an instance that breaks off, or sends no event, have been passed on.
func TestStreamThatBreaksAfterCommentsIsTriedElsewhere(t *testing.T) {
	for name, faulty := range map[string]func(w http.ResponseWriter){
		"broken off": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, someComments)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"comments without end": writeComments,
	} {
		t.Run(name, func(t *testing.T) {
			g := newStreamGateway(t, routetable.Safe, faulty, func(w http.ResponseWriter) { _, _ = io.WriteString(w, someEvents) })
			_, body, err := g.get(t)
			assert.NilError(t, err)
			assert.Equal(t, body, someEvents)
		})
	}
}

// TestCommentsWithoutEndFailTheStream guards against a client that gets nothing but comments until
// its deadline, and against a stream that looks whole after it was cut.
func TestCommentsWithoutEndFailTheStream(t *testing.T) {
	g := newStreamGateway(t, routetable.Unsafe, writeComments)
	status, _, err := g.get(t)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	g.checkLimit(t, "comment_bytes")
	g = newStreamGateway(t, routetable.Unsafe, func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, someEvents)
		writeComments(w)
	})
	_, body, err := g.get(t)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.HasPrefix(body, someEvents))
	g.checkLimit(t, "comment_bytes")
}

// checkLimit checks that a log line names the instance that exceeded the limit, and that it is
// counted.
func (g *streamGateway) checkLimit(t *testing.T, limit string) {
	t.Helper()
	lines := g.logs.FilterMessage("back end exceeded a limit").All()
	assert.Equal(t, len(lines), 1)
	fields := lines[0].ContextMap()
	assert.Equal(t, fields["limit"], limit)
	assert.Equal(t, fields["instance"], "i-0")
	assert.Assert(t, fields["read"].(int64) > 0)
	count, err := testutil.GatherAndCount(g.registry, "marblering_gateway_response_limits_total")
	assert.NilError(t, err)
	assert.Equal(t, count, 1)
}
