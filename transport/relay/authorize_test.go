package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/relay"
)

// keyHeaderCodec returns a fixed API key.
type keyHeaderCodec struct{ plainHeaderCodec }

func (keyHeaderCodec) ReadRequest(*http.Request) (relay.RequestInfo, *result.Error) {
	return relay.RequestInfo{ID: "id", APIKey: "key"}, nil
}

// unlimitedQuotas grants every permit.
type unlimitedQuotas struct{}

func (unlimitedQuotas) Take(context.Context, quota.Request) (quota.Permit, *result.Error) {
	return quota.Permit{}, nil
}

// scriptedFreshness calls onCall with the number of calls of Staleness so far.
type scriptedFreshness struct {
	staleness time.Duration
	calls     int
	onCall    func(call int)
}

func (f *scriptedFreshness) Staleness() (time.Duration, bool) {
	f.calls++
	f.onCall(f.calls)
	return f.staleness, true
}
func (*scriptedFreshness) Limit() time.Duration { return time.Second }
func (*scriptedFreshness) Source() string       { return "a test" }

// keyFixture is a handler whose clients send an API key.
type keyFixture struct {
	tables    *routetable.ActiveTable
	freshness *scriptedFreshness
	upstream  *failingUpstream
	handler   http.Handler
	version   int64
}

func newKeyFixture(t *testing.T, kind routetable.Kind) *keyFixture {
	t.Helper()
	f := &keyFixture{tables: &routetable.ActiveTable{}, freshness: &scriptedFreshness{onCall: func(int) {}}, upstream: &failingUpstream{afterAttempt: func() {}}}
	f.install(t, kind, "key")
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}, {ID: "i-2", Service: "app"}})
	f.handler = relay.New(relay.Options{
		Tables: f.tables, Backends: pool, Upstream: f.upstream, Crashes: noCrashes{}, HeaderCodec: keyHeaderCodec{}, Quotas: unlimitedQuotas{}, Freshness: f.freshness,
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return false }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), AccessLogger: zap.NewNop(), Now: time.Now,
	})
	return f
}

// install puts a configuration into force in which the tenant has the given keys.
func (f *keyFixture) install(t *testing.T, kind routetable.Kind, keys ...string) {
	t.Helper()
	f.version++
	owner := tenant.Tenant{Name: "north"}
	for _, key := range keys {
		owner.Keys = append(owner.Keys, tenant.DigestOf(key))
	}
	table, err := routetable.NewTable(routetable.Configuration{
		Version: f.version, Services: []routetable.Service{{Name: "app"}}, KeysRequired: true, Tenants: []tenant.Tenant{owner},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: kind, Timeout: time.Minute, Attempts: 3,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	f.tables.Install(table)
}

func (f *keyFixture) serve() int {
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	return recorder.Code
}

// TestTableIsReadAfterFreshnessCheck guards against accepting a key by an older table than
// the configuration whose freshness was checked.
func TestTableIsReadAfterFreshnessCheck(t *testing.T) {
	f := newKeyFixture(t, routetable.Safe)
	f.freshness.onCall = func(call int) {
		if call == 1 {
			f.install(t, routetable.Safe)
		}
	}
	assert.Equal(t, f.serve(), http.StatusUnauthorized)
	assert.Equal(t, f.upstream.attempts.Load(), int64(0))
}

// TestKeyRevokedBeforeSend guards against sending a request whose key was revoked while it
// waited.
func TestKeyRevokedBeforeSend(t *testing.T) {
	f := newKeyFixture(t, routetable.Safe)
	f.freshness.onCall = func(call int) {
		if call == 2 {
			f.install(t, routetable.Safe)
		}
	}
	assert.Equal(t, f.serve(), http.StatusUnauthorized)
	assert.Equal(t, f.upstream.attempts.Load(), int64(0))
}

// TestStaleConfigurationBeforeSend guards against sending a request after the process was
// paused for longer than the staleness limit.
func TestStaleConfigurationBeforeSend(t *testing.T) {
	f := newKeyFixture(t, routetable.Safe)
	f.freshness.onCall = func(call int) {
		if call == 2 {
			f.freshness.staleness = 2 * time.Second
		}
	}
	assert.Equal(t, f.serve(), http.StatusServiceUnavailable)
	assert.Equal(t, f.upstream.attempts.Load(), int64(0))
}

// TestKeyRevokedBetweenAttempts guards against retrying a request with a revoked key, and
// against a response that claims that it hasn't run.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	f := newKeyFixture(t, routetable.Safe)
	f.upstream.afterAttempt = func() { f.install(t, routetable.Safe) }
	assert.Equal(t, f.serve(), http.StatusBadGateway)
	assert.Equal(t, f.upstream.attempts.Load(), int64(1))
}

// TestFailureLogHasConfigurationAge checks the log field that tells a route not known yet
// from one that doesn't exist.
func TestFailureLogHasConfigurationAge(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		want  any
	}{"known": {true, 2200 * time.Millisecond}, "unknown": {false, "unknown"}} {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			f := newKeyFixture(t, routetable.Safe)
			f.handler = relay.New(relay.Options{
				Tables: f.tables, HeaderCodec: keyHeaderCodec{}, IsConfigurationNewest: func() bool { return true }, MaxInFlight: 10,
				ConfigurationAge: func() (time.Duration, bool) { return 2200 * time.Millisecond, c.known },
				IsUnready:        func() bool { return false },
				Metrics:          relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.New(core), AccessLogger: zap.NewNop(), Now: time.Now,
			})
			request := httptest.NewRequest(http.MethodGet, "/x", nil)
			request.Host = "unknown.example"
			f.handler.ServeHTTP(httptest.NewRecorder(), request)
			refused := lines.FilterMessage("not answered").All()
			assert.Equal(t, len(refused), 1)
			assert.Equal(t, refused[0].ContextMap()["configuration_age"], c.want)
		})
	}
}
