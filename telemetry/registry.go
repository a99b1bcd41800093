package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process. Names end in their unit, such as _seconds, _bytes or _total.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewBuildInfoCollector(),
	)
	return registry
}

// StoreCalls is the counter of the calls that a process makes to the store itself,
// by kind of objects.
const StoreCalls = "marblering_store_calls_total"

// NewStoreCalls makes the counter StoreCalls. It isn't registered yet.
func NewStoreCalls() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: StoreCalls, Help: "Listings and watches that the store itself was asked for, by kind of objects.",
	}, []string{"objects"})
}
