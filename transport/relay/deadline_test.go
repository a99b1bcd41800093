package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// plainHeaderCodec ignores all headers.
type plainHeaderCodec struct{}

func (plainHeaderCodec) ReadRequest(*http.Request) (relay.RequestInfo, *result.Error) {
	return relay.RequestInfo{ID: "id"}, nil
}
func (plainHeaderCodec) WriteAttempt(http.Header, relay.AttemptInfo)     {}
func (plainHeaderCodec) Classify(*upstream.Response) relay.ResponseClass { return relay.ValidResponse }

// failingUpstream fails and counts all attempts.
type failingUpstream struct {
	attempts     atomic.Int64
	afterAttempt func()
	// unsent makes requests fail before they are sent.
	unsent bool
	// unready is the result of Options.IsUnready.
	unready bool
}

func (u *failingUpstream) Do(context.Context, *upstream.Request) (*upstream.Response, error) {
	u.attempts.Add(1)
	u.afterAttempt()
	if u.unsent {
		return nil, &upstream.Error{Stage: upstream.StageDial, Cause: context.DeadlineExceeded}
	}
	return nil, &upstream.Error{Sent: true, Stage: upstream.StageHead, Cause: context.DeadlineExceeded}
}

func (u *failingUpstream) Check(context.Context, *upstream.Request, upstream.Look) upstream.Life {
	return upstream.LifeContinues
}

// serveUntilDeadline serves a request whose deadline passes during its first attempt.
func serveUntilDeadline(t *testing.T, kind routetable.Kind, client *failingUpstream) *httptest.ResponseRecorder {
	t.Helper()
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: kind, Timeout: time.Minute, Attempts: 3,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.ActiveTable{}
	tables.Install(table)
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}, {ID: "i-2", Service: "app"}})
	var passed atomic.Int64
	client.afterAttempt = func() { passed.Store(int64(time.Minute)) }
	handler := relay.New(relay.Options{
		Tables: tables, Backends: pool, Upstream: client, Crashes: noCrashes{}, HeaderCodec: plainHeaderCodec{},
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return client.unready }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), AccessLogger: zap.NewNop(),
		Now: func() time.Time { return time.Now().Add(time.Duration(passed.Load())) },
	})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestDeadlinePassedBeforeContextExpires guards against a retry if an attempt fails at the
// deadline just before the context expires.
func TestDeadlinePassedBeforeContextExpires(t *testing.T) {
	for name, kind := range map[string]routetable.Kind{"safe": routetable.Safe, "unsafe": routetable.Unsafe} {
		client := &failingUpstream{}
		recorder := serveUntilDeadline(t, kind, client)
		assert.Equal(t, recorder.Code, http.StatusGatewayTimeout, name)
		assert.Equal(t, client.attempts.Load(), int64(1), name)
	}
}

// TestUnreadyHandlerClosesConnections checks that clients of an unready gateway reconnect
// elsewhere.
func TestUnreadyHandlerClosesConnections(t *testing.T) {
	for _, unready := range []bool{false, true} {
		recorder := serveUntilDeadline(t, routetable.Safe, &failingUpstream{unsent: true, unready: unready})
		assert.Equal(t, recorder.Header().Get("Connection") == "close", unready)
	}
}

// TestDeadlinePassedBeforeSend checks that a request that was never sent is reported as not
// run, so that a client may repeat one that must not run twice.
func TestDeadlinePassedBeforeSend(t *testing.T) {
	for name, kind := range map[string]routetable.Kind{"safe": routetable.Safe, "unsafe": routetable.Unsafe} {
		client := &failingUpstream{unsent: true}
		recorder := serveUntilDeadline(t, kind, client)
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable, name)
		assert.Assert(t, recorder.Header().Get("Retry-After") != "", name)
		assert.Equal(t, client.attempts.Load(), int64(1), name)
	}
}
