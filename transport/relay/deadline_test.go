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

// plainDialect reads nothing of a request.
type plainDialect struct{}

func (plainDialect) Read(*http.Request) (relay.Facts, *result.Error) {
	return relay.Facts{ID: "id"}, nil
}
func (plainDialect) Write(http.Header, relay.Attempt)       {}
func (plainDialect) Judge(*upstream.Answer) relay.Judgement { return relay.Proper }

// brokenExchanger loses every answer and counts the tries.
type brokenExchanger struct {
	tries atomic.Int64
	after func()
	// unsent has requests fail before they are sent.
	unsent bool
	// unready is what the node says of itself meanwhile.
	unready bool
}

func (e *brokenExchanger) Do(context.Context, *upstream.Request) (*upstream.Answer, error) {
	e.tries.Add(1)
	e.after()
	if e.unsent {
		return nil, &upstream.Error{Stage: upstream.StageDial, Cause: context.DeadlineExceeded}
	}
	return nil, &upstream.Error{Sent: true, Stage: upstream.StageHead, Cause: context.DeadlineExceeded}
}

// answerAfterTime has a request's time be over while its first back end is tried.
func answerAfterTime(t *testing.T, kind routetable.Kind, exchanger *brokenExchanger) *httptest.ResponseRecorder {
	t.Helper()
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: kind, Timeout: time.Minute, Attempts: 3,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.InForce{}
	tables.Install(table)
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}, {ID: "i-2", Service: "app"}})
	var passed atomic.Int64
	exchanger.after = func() { passed.Store(int64(time.Minute)) }
	handler := relay.New(relay.Options{
		Tables: tables, Backends: pool, Exchanger: exchanger, Dialect: plainDialect{},
		Certain: func() bool { return true }, Unready: func() bool { return exchanger.unready }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), Answered: zap.NewNop(),
		Now: func() time.Time { return time.Now().Add(time.Duration(passed.Load())) },
	})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestTimeIsOverBeforeTheContextSaysSo: a connection notices the deadline a moment
// before the request's context does. The answer is that of a request whose time is
// over, and no other back end is tried.
func TestTimeIsOverBeforeTheContextSaysSo(t *testing.T) {
	for name, kind := range map[string]routetable.Kind{"safe": routetable.Safe, "unsafe": routetable.Unsafe} {
		exchanger := &brokenExchanger{}
		recorder := answerAfterTime(t, kind, exchanger)
		assert.Equal(t, recorder.Code, http.StatusGatewayTimeout, name)
		assert.Equal(t, exchanger.tries.Load(), int64(1), name)
	}
}

// TestUnreadyNodeSendsCallersElsewhere: its answers end their connections.
func TestUnreadyNodeSendsCallersElsewhere(t *testing.T) {
	for _, unready := range []bool{false, true} {
		recorder := answerAfterTime(t, routetable.Safe, &brokenExchanger{unsent: true, unready: unready})
		assert.Equal(t, recorder.Header().Get("Connection") == "close", unready)
	}
}

// TestTimeThatIsOverBeforeTheRequestWasSent: the answer says that it hasn't run, so
// that a caller may ask again also for what must not run twice.
func TestTimeThatIsOverBeforeTheRequestWasSent(t *testing.T) {
	for name, kind := range map[string]routetable.Kind{"safe": routetable.Safe, "unsafe": routetable.Unsafe} {
		exchanger := &brokenExchanger{unsent: true}
		recorder := answerAfterTime(t, kind, exchanger)
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable, name)
		assert.Assert(t, recorder.Header().Get("Retry-After") != "", name)
		assert.Equal(t, exchanger.tries.Load(), int64(1), name)
	}
}
