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

// keyDialect reads the one key that tests show.
type keyDialect struct{ plainDialect }

func (keyDialect) Read(*http.Request) (relay.Facts, *result.Error) {
	return relay.Facts{ID: "id", APIKey: "key"}, nil
}

// freeQuotas let everything in.
type freeQuotas struct{}

func (freeQuotas) Take(context.Context, quota.Request) (quota.Permit, *result.Error) {
	return quota.Permit{}, nil
}

// scriptedProof runs a step each time it is asked.
type scriptedProof struct {
	staleness time.Duration
	asked     int
	step      func(asked int)
}

func (p *scriptedProof) Staleness() (time.Duration, bool) {
	p.asked++
	p.step(p.asked)
	return p.staleness, true
}
func (*scriptedProof) Limit() time.Duration { return time.Second }
func (*scriptedProof) Source() string       { return "a test" }

// keyWorld is a handler whose callers show a key.
type keyWorld struct {
	tables    *routetable.InForce
	proof     *scriptedProof
	exchanger *brokenExchanger
	handler   http.Handler
	version   int64
}

func newKeyWorld(t *testing.T, kind routetable.Kind) *keyWorld {
	t.Helper()
	w := &keyWorld{tables: &routetable.InForce{}, proof: &scriptedProof{step: func(int) {}}, exchanger: &brokenExchanger{after: func() {}}}
	w.install(t, kind, "key")
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}, {ID: "i-2", Service: "app"}})
	w.handler = relay.New(relay.Options{
		Tables: w.tables, Backends: pool, Exchanger: w.exchanger, Dialect: keyDialect{}, Quotas: freeQuotas{}, Proof: w.proof,
		Certain: func() bool { return true }, Unready: func() bool { return false }, MaxInFlight: 10,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), Answered: zap.NewNop(), Now: time.Now,
	})
	return w
}

// install puts a configuration in force in which the tenant has the keys.
func (w *keyWorld) install(t *testing.T, kind routetable.Kind, keys ...string) {
	t.Helper()
	w.version++
	owner := tenant.Tenant{Name: "north"}
	for _, key := range keys {
		owner.Keys = append(owner.Keys, tenant.DigestOf(key))
	}
	table, err := routetable.NewTable(routetable.Configuration{
		Version: w.version, Services: []routetable.Service{{Name: "app"}}, KeysRequired: true, Tenants: []tenant.Tenant{owner},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: kind, Timeout: time.Minute, Attempts: 3,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	w.tables.Install(table)
}

func (w *keyWorld) ask() int {
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	w.handler.ServeHTTP(recorder, request)
	return recorder.Code
}

// TestProofIsOfTheTableThatIsAsked: a configuration without the key comes into force, and
// is proved new, while a request is looked at. It is refused, whenever that happens.
func TestProofIsOfTheTableThatIsAsked(t *testing.T) {
	w := newKeyWorld(t, routetable.Safe)
	w.proof.step = func(asked int) {
		if asked == 1 {
			w.install(t, routetable.Safe)
		}
	}
	assert.Equal(t, w.ask(), http.StatusUnauthorized)
	assert.Equal(t, w.exchanger.tries.Load(), int64(0))
}

// TestKeyTakenAwayBeforeARequestLeaves: what waited here under the key isn't sent.
func TestKeyTakenAwayBeforeARequestLeaves(t *testing.T) {
	w := newKeyWorld(t, routetable.Safe)
	w.proof.step = func(asked int) {
		if asked == 2 {
			w.install(t, routetable.Safe)
		}
	}
	assert.Equal(t, w.ask(), http.StatusUnauthorized)
	assert.Equal(t, w.exchanger.tries.Load(), int64(0))
}

// TestProofTooOldBeforeARequestLeaves, as after a pause of the process.
func TestProofTooOldBeforeARequestLeaves(t *testing.T) {
	w := newKeyWorld(t, routetable.Safe)
	w.proof.step = func(asked int) {
		if asked == 2 {
			w.proof.staleness = 2 * time.Second
		}
	}
	assert.Equal(t, w.ask(), http.StatusServiceUnavailable)
	assert.Equal(t, w.exchanger.tries.Load(), int64(0))
}

// TestKeyTakenAwayBetweenTries: a request that may have run isn't tried again, and its
// answer doesn't promise that it hasn't.
func TestKeyTakenAwayBetweenTries(t *testing.T) {
	w := newKeyWorld(t, routetable.Safe)
	w.exchanger.after = func() { w.install(t, routetable.Safe) }
	assert.Equal(t, w.ask(), http.StatusBadGateway)
	assert.Equal(t, w.exchanger.tries.Load(), int64(1))
}

// TestLineOfARefusalTellsHowOldItsConfigurationIs: without it a route that isn't known
// yet and one that is really none look alike.
func TestLineOfARefusalTellsHowOldItsConfigurationIs(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		want  any
	}{"known": {true, 2200 * time.Millisecond}, "unknown": {false, "unknown"}} {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			w := newKeyWorld(t, routetable.Safe)
			w.handler = relay.New(relay.Options{
				Tables: w.tables, Dialect: keyDialect{}, Certain: func() bool { return true }, MaxInFlight: 10,
				TableAge: func() (time.Duration, bool) { return 2200 * time.Millisecond, c.known },
				Unready:  func() bool { return false },
				Metrics:  relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.New(core), Answered: zap.NewNop(), Now: time.Now,
			})
			request := httptest.NewRequest(http.MethodGet, "/x", nil)
			request.Host = "unknown.example"
			w.handler.ServeHTTP(httptest.NewRecorder(), request)
			refused := lines.FilterMessage("not answered").All()
			assert.Equal(t, len(refused), 1)
			assert.Equal(t, refused[0].ContextMap()["configuration_age"], c.want)
		})
	}
}
