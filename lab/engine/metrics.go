package engine

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// gauge is one metric of the dialect.
type gauge struct {
	description *prometheus.Desc
	value       func(Load) float64
}

func newGauge(name, help string, value func(Load) float64) gauge {
	return gauge{description: prometheus.NewDesc(name, help, nil, nil), value: value}
}

var gauges = []gauge{
	newGauge("engine_running_requests", "Requests in the batch.",
		func(l Load) float64 { return float64(l.Running) }),
	newGauge("engine_waiting_requests", "Requests in the queue.",
		func(l Load) float64 { return float64(l.Waiting) }),
	newGauge("engine_outstanding_tokens", "Tokens left to prefill and to decode.",
		func(l Load) float64 { return float64(l.OutstandingTokens) }),
	newGauge("engine_cache_used_tokens", "KV cache of running requests and held contexts.",
		func(l Load) float64 { return float64(l.CacheUsedTokens) }),
	newGauge("engine_cache_limit_tokens", "Room for KV cache.",
		func(l Load) float64 { return float64(l.CacheLimitTokens) }),
	newGauge("engine_prefill_tokens_per_second", "Measured speed of prefill.",
		func(l Load) float64 { return l.PrefillRate }),
	newGauge("engine_decode_tokens_per_second", "Measured decode speed of one sequence.",
		func(l Load) float64 { return l.DecodeRate }),
}

// loadCollector makes metrics of an engine's lagging load.
type loadCollector struct {
	server *Server
}

// Describe implements prometheus.Collector.
func (c loadCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, gauge := range gauges {
		descriptions <- gauge.description
	}
}

// Collect implements prometheus.Collector.
func (c loadCollector) Collect(metrics chan<- prometheus.Metric) {
	load := c.server.load()
	for _, gauge := range gauges {
		metrics <- prometheus.MustNewConstMetric(gauge.description, prometheus.GaugeValue, gauge.value(load))
	}
}

// load returns the lagging load, with speeds in tokens per real second.
func (s *Server) load() Load {
	var load Load
	s.change(func() { load = s.core.Load(s.instant()) })
	load.PrefillRate *= s.options.TimeScale
	load.DecodeRate *= s.options.TimeScale
	return load
}

func (s *Server) metrics() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
