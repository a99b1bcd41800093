package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/transport/upstream"
)

// Metrics holds the Prometheus metrics of a Handler.
type Metrics struct {
	requests *prometheus.CounterVec
	retries  prometheus.Counter
	crashes  prometheus.Counter
	sends    *prometheus.CounterVec
	// unresolved counts sends after which nothing shows whether the back end has ended.
	unresolved *prometheus.CounterVec
	limits     *prometheus.CounterVec
	// ends counts the answers of back ends by how their end is marked and how they ended.
	ends *prometheus.CounterVec
	// processEnds counts the processes found ended after answers that nothing else ended.
	processEnds *prometheus.CounterVec
	// gaps counts the gaps in the numbers of events that were passed on.
	gaps    *prometheus.CounterVec
	resumed *prometheus.CounterVec
	// missingReplicas counts the members that turns without a quorum lacked.
	missingReplicas *prometheus.CounterVec
	firstByte       *prometheus.HistogramVec
	duration        *prometheus.HistogramVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_requests_total",
			Help: "Requests by kind of route and result code.",
		}, []string{"kind", "code"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_retries_total",
			Help: "Requests that were sent to another back end.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_crashes_under_requests_total",
			Help: "Ends of back ends under requests, one for each request.",
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_sends_total",
			Help: "Requests sent to back ends, once for each attempt, by how that ended.",
		}, []string{"ended"}),
		unresolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_unresolved_sends_total",
			Help: "Sends after which back ends may have ended, by what was found.",
		}, []string{"found"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_response_limits_total",
			Help: "Answers of back ends that exceeded a limit, by limit.",
		}, []string{"limit"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_answer_ends_total",
			Help: "Answers of back ends, by how their end is marked and by how they ended.",
		}, []string{"framing", "ended"}),
		processEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_process_ends_total",
			Help: "Answers without a mark of their end whose process has ended, by what showed that.",
		}, []string{"sign"}),
		gaps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_event_gaps_total",
			Help: "Events passed on whose number is more than one above the last, within a run or where a run joins another.",
		}, []string{"place"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_resumed_streams_total",
			Help: "Streams that clients resumed, by whether the software version that began them is found.",
		}, []string{"outcome"}),
		missingReplicas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marblering_gateway_missing_replicas_total",
			Help: "Replicas that a turn lacked when it found no quorum, by the reason of each one's last answer.",
		}, []string{"reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marblering_gateway_first_byte_seconds",
			Help: "Time from a request's arrival to the head of its answer.", Buckets: buckets,
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marblering_gateway_request_seconds",
			Help: "Time from a request's arrival to the end of its answer.", Buckets: buckets,
		}, []string{"kind"}),
	}
	registry.MustRegister(m.requests, m.retries, m.crashes, m.sends, m.unresolved, m.limits, m.ends, m.processEnds, m.gaps, m.resumed, m.missingReplicas, m.firstByte, m.duration)
	return m
}

// resumptionOutcome says whether a resumed stream can go on at the version that began it.
type resumptionOutcome string

const (
	originFound       resumptionOutcome = "found"
	originUnknown     resumptionOutcome = "unknown"
	originUnavailable resumptionOutcome = "unavailable"
	versionGone       resumptionOutcome = "version_gone"
)

func (m *Metrics) countResumption(outcome resumptionOutcome) {
	m.resumed.WithLabelValues(string(outcome)).Inc()
}

// countProcessEnd counts the error of an answer if the end of its process has ended it.
func (m *Metrics) countProcessEnd(cause error) {
	var ended *upstream.EndedError
	if errors.As(cause, &ended) {
		m.processEnds.WithLabelValues(string(ended.Sign)).Inc()
	}
}

// observe records a finished request.
func (m *Metrics) observe(c *call, took time.Duration) {
	kind := "none"
	if c.routing.route != nil {
		kind = c.routing.route.Kind.String()
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(int(c.response.code))).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
	if c.timing.firstByte > 0 {
		m.firstByte.WithLabelValues(kind).Observe(c.timing.firstByte.Seconds())
	}
}
