package callerapi

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Buckets of durations, a factor of two apart, from 1 ms (a refusal) to 9 min (a long
// answer).
const (
	firstBucketSeconds = 0.001
	bucketFactor       = 2
	bucketCount        = 20
)

// Metrics is the observer that keeps metrics for Prometheus.
type Metrics struct {
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken prometheus.Histogram
	lost       prometheus.Counter
}

var _ Observer = (*Metrics)(nil)

// NewMetrics registers the metrics. It panics where the registerer already has
// them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	buckets := prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount)
	return &Metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_caller_requests_total",
			Help: "Requests of callers by operation and result code.",
		}, []string{"operation", "code"}),
		duration: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "marblering_caller_request_duration_seconds",
			Help:    "Time from the arrival of a request to the end of its answer.",
			Buckets: buckets,
		}, []string{"operation"}),
		firstToken: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "marblering_caller_first_token_seconds",
			Help:    "Time from the arrival of a call to the first text of its answer.",
			Buckets: buckets,
		}),
		lost: factory.NewCounter(prometheus.CounterOpts{
			Name: "marblering_caller_lost_connections_total",
			Help: "Requests whose caller was gone before the answer was sent whole.",
		}),
	}
}

// Observe implements [Observer].
func (m *Metrics) Observe(observation Observation) {
	m.requests.WithLabelValues(observation.Operation, observation.Code.String()).Inc()
	m.duration.WithLabelValues(observation.Operation).Observe(observation.Duration.Seconds())
	if observation.FirstToken > 0 {
		m.firstToken.Observe(observation.FirstToken.Seconds())
	}
	if observation.ConnectionLost {
		m.lost.Inc()
	}
}
