package quota

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/state/result"
)

// Values of the label source: where a permit came from, or why there was none.
const (
	sourceStock       = "stock"
	sourceHolder      = "holder"
	sourceExhausted   = "exhausted"
	sourceUnavailable = "unavailable"
)

// Metrics count a gateway's permits. They have no tenant label, since there may be
// thousands of tenants.
type Metrics struct {
	permits *prometheus.CounterVec
	waits   prometheus.Histogram
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_quota_permits_total", Help: "Requests that needed a permit, by where it came from or why there was none.",
		}, []string{"source"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marblering_gateway_quota_wait_seconds", Help: "Time until a request had its permit, or was refused one.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5},
		}),
	}
	registry.MustRegister(m.permits, m.waits)
	return m
}

func (m *Metrics) observe(source string, took time.Duration) {
	m.permits.WithLabelValues(source).Inc()
	m.waits.Observe(took.Seconds())
}

// observeAsked records a request that asked holders.
func (m *Metrics) observeAsked(failure *result.Error, took time.Duration) {
	switch {
	case failure == nil:
		m.observe(sourceHolder, took)
	case failure.Code == result.TenantLimit:
		m.observe(sourceExhausted, took)
	default:
		m.observe(sourceUnavailable, took)
	}
}
