package relay_test

import (
	"context"
	"io"
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
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// noCrashes knows of no crash.
type noCrashes struct{}

func (noCrashes) NeedsCheck() bool { return false }
func (noCrashes) Suspicion(context.Context, quarantine.Fingerprint) (known quarantine.Suspicion) {
	return known
}
func (noCrashes) IsSuspected(quarantine.Fingerprint) bool { return false }
func (noCrashes) Announce(context.Context, quarantine.Send, quarantine.Suspicion) (before quarantine.Suspicion, isAnnounced bool) {
	return before, false
}
func (noCrashes) Unresolve(context.Context, quarantine.Send) (known quarantine.Suspicion) {
	return known
}
func (noCrashes) Drop(context.Context, quarantine.Fingerprint, quarantine.SendID) {}
func (noCrashes) Report(context.Context, quarantine.Crash) (known quarantine.Suspicion) {
	return known
}
func (noCrashes) Completed(context.Context, quarantine.Fingerprint) {}

// countedCrashes counts reports.
type countedCrashes struct {
	noCrashes
	reports atomic.Int64
}

func (c *countedCrashes) Report(context.Context, quarantine.Crash) quarantine.Suspicion {
	reports := int(c.reports.Add(1))
	return quarantine.Suspicion{Crashes: reports, Suspected: reports}
}

// endedUpstream breaks each exchange. The first check of its end times out.
type endedUpstream struct{ checks atomic.Int64 }

func (*endedUpstream) Do(context.Context, *upstream.Request) (*upstream.Response, error) {
	return nil, &upstream.Error{Sent: true, Stage: upstream.StageHead, Cause: io.ErrUnexpectedEOF}
}

func (u *endedUpstream) Check(ctx context.Context, _ *upstream.Request, _ upstream.Look) upstream.Life {
	if u.checks.Add(1) == 1 {
		<-ctx.Done()
		return upstream.LifeSilent
	}
	return upstream.LifeEnded
}

// TestEndIsCheckedAgainAfterTimeout guards against the end of an instance that isn't counted,
// because the gateway stood still while it checked for it.
func TestEndIsCheckedAgainAfterTimeout(t *testing.T) {
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: routetable.Safe, Timeout: time.Minute, Attempts: 1,
			Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.ActiveTable{}
	tables.Install(table)
	pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
	pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}})
	crashes := &countedCrashes{}
	handler := relay.New(relay.Options{
		Tables: tables, Backends: pool, Upstream: &endedUpstream{}, Crashes: crashes, HeaderCodec: plainHeaderCodec{},
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return false }, MaxInFlight: 1,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), AccessLogger: zap.NewNop(), Now: time.Now,
	})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusBadGateway)
	assert.Equal(t, crashes.reports.Load(), int64(1))
}
