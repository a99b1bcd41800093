package telemetry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/test/bubble"
)

// Each line must have the increase of the selected counters since the previous line, and
// must leave out all other counters.
func TestWorkloadLogsCounterIncreases(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		registry := prometheus.NewRegistry()
		requests := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "requests_total"}, []string{"procedure", "side"})
		other := prometheus.NewCounter(prometheus.CounterOpts{Name: "other_total"})
		registry.MustRegister(requests, other)
		core, lines := observer.New(zap.InfoLevel)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		workload := telemetry.NewWorkload(registry, map[string]string{"requests_total": "served"}, zap.New(core))
		go func() {
			defer close(done)
			assert.ErrorIs(t, workload.Serve(ctx), context.Canceled)
		}()
		synctest.Wait()
		requests.WithLabelValues("/peer.v1.Service/Accept", "server").Add(3)
		other.Inc()
		time.Sleep(telemetry.WorkloadInterval + time.Millisecond)
		requests.WithLabelValues("/peer.v1.Service/Accept", "server").Add(2)
		time.Sleep(telemetry.WorkloadInterval)
		stop()
		<-done

		assert.Equal(t, lines.Len(), 2)
		first, second := lines.All()[0].ContextMap(), lines.All()[1].ContextMap()
		assert.Equal(t, first["served_accept_server"], 3.0)
		assert.Equal(t, second["served_accept_server"], 2.0)
		_, found := first["other_total"]
		assert.Assert(t, !found)
		_, found = first["processor"]
		assert.Assert(t, found)
	})
}
