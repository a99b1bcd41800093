package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// NewRegistry returns a registry with collectors for the Go runtime, the process and the
// build information. Metric names end in their unit or kind, such as _seconds, _bytes or
// _total.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewBuildInfoCollector(),
	)
	return registry
}

// StoreCallsMetric is the name of the counter of list and watch calls that a process makes
// directly to the store, labelled by the kind of objects.
const StoreCallsMetric = "marblering_store_calls_total"

// NewStoreCallsCounter returns the counter named StoreCallsMetric. The caller registers it.
func NewStoreCallsCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: StoreCallsMetric, Help: "Listings and watches that the store itself was asked for, by kind of objects.",
	}, []string{"objects"})
}
