package node

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/protocol/callerapi"
)

// Values of the label outcome of attempts at engines.
const (
	attemptAnswered = "answered"
	attemptFailed   = "failed"
	// attemptLeaving is a refusal of an engine that takes no more work.
	attemptLeaving = "leaving"
	// attemptRefused is a failure before the engine took anything.
	attemptRefused = "refused"
)

// Values of the label witness of attempts found lost.
const (
	witnessMembership = "membership"
	witnessExecutor   = "executor"
)

// Values of the label outcome of changes of program records.
const (
	changeStored   = "stored"
	changeRefused  = "refused"
	changeNoQuorum = "no_quorum"
	changeUnknown  = "unknown"
)

// decisionChosen is the label result of a decision that found an engine; the
// others are named after result codes.
const decisionChosen = "chosen"

// Values of the label limit of refusals.
const (
	limitConcurrentCalls = "concurrent_calls"
	limitTokenRate       = "tokens_per_minute"
	limitRetryBudget     = "retry_budget"
	limitEngine          = "engine"
)

// secondsBuckets suit calls of models; 0.65 s is the goal for the first token.
var secondsBuckets = []float64{.01, .025, .05, .1, .2, .4, .65, 1, 1.5, 2.5, 5, 10, 30, 60, 120, 300, 600}

// recordBuckets suit changes of records: a round trip between zones or a few.
var recordBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// instruments are the metrics of one node that its parts don't register
// themselves. docs/OPERATIONS.md lists them all; a test compares the two.
type instruments struct {
	requests        *prometheus.CounterVec
	requestSeconds  *prometheus.HistogramVec
	firstToken      prometheus.Histogram
	connectionsLost prometheus.Counter

	attempts      *prometheus.CounterVec
	lostAttempts  *prometheus.CounterVec
	recordChanges *prometheus.CounterVec
	recordSeconds prometheus.Histogram

	decisions  *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	unanswered *prometheus.CounterVec

	sweptRecords  prometheus.Counter
	endedPrograms prometheus.Counter
	endedCalls    prometheus.Counter
	releasedHolds prometheus.Counter
}

func newInstruments(registerer prometheus.Registerer) *instruments {
	make := factory{registerer}
	return &instruments{
		requests: make.counters("marblering_requests_total",
			"Requests of callers by operation and result code.", "operation", "code"),
		requestSeconds: make.histograms("marblering_request_seconds",
			"Time from the arrival of a caller's request to the end of its answer.", "operation"),
		firstToken: make.histogram("marblering_first_token_seconds",
			"Time from the arrival of a call to the first text of its answer.", secondsBuckets),
		connectionsLost: make.counter("marblering_connections_lost_total",
			"Requests whose caller was gone before the answer was sent whole."),

		attempts: make.counters("marblering_attempts_total",
			"Attempts at engines by outcome: answered, failed, leaving or refused.", "outcome"),
		lostAttempts: make.counters("marblering_lost_attempts_total",
			"Attempts of other nodes found lost, to be taken over or ended, by who told: membership or the executor.", "witness"),
		recordChanges: make.counters("marblering_record_changes_total",
			"Changes and reads of program records for callers by outcome: stored, refused, no_quorum or unknown.", "outcome"),
		recordSeconds: make.histogram("marblering_record_change_seconds",
			"Time of a change or read of a program record over its quorum.", recordBuckets),

		decisions: make.counters("marblering_routing_decisions_total",
			"Choices of an engine by result: chosen, or the name of the result code.", "result"),
		refusals: make.counters("marblering_limit_refusals_total",
			"Refusals by the limit that was reached: concurrent_calls, tokens_per_minute, retry_budget or engine.", "limit"),
		unanswered: make.counters("marblering_limit_unanswered_total",
			"Questions to the node that keeps a limit that it didn't answer in time; the call went on.", "limit"),

		sweptRecords: make.counter("marblering_sweep_records_total",
			"Program records that the sweep took up."),
		endedPrograms: make.counter("marblering_sweep_programs_ended_total",
			"Programs ended by the sweep at their idle limit."),
		endedCalls: make.counter("marblering_sweep_calls_ended_total",
			"Calls ended by the sweep because their executor was lost and their deadline had passed."),
		releasedHolds: make.counter("marblering_sweep_holds_released_total",
			"Contexts released at engines whose record no longer knew of them."),
	}
}

// Observe implements callerapi.Observer.
func (i *instruments) Observe(observation callerapi.Observation) {
	i.requests.WithLabelValues(observation.Operation, strconv.FormatUint(uint64(observation.Code), 10)).Inc()
	i.requestSeconds.WithLabelValues(observation.Operation).Observe(observation.Duration.Seconds())
	if observation.FirstToken > 0 {
		i.firstToken.Observe(observation.FirstToken.Seconds())
	}
	if observation.ConnectionLost {
		i.connectionsLost.Inc()
	}
}

// factory makes registered metrics.
type factory struct {
	registerer prometheus.Registerer
}

func (f factory) counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	f.registerer.MustRegister(counter)
	return counter
}

func (f factory) counters(name, help string, labels ...string) *prometheus.CounterVec {
	counters := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	f.registerer.MustRegister(counters)
	return counters
}

func (f factory) histogram(name, help string, buckets []float64) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
	f.registerer.MustRegister(histogram)
	return histogram
}

func (f factory) histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Name: name, Help: help, Buckets: secondsBuckets}
	histograms := prometheus.NewHistogramVec(options, labels)
	f.registerer.MustRegister(histograms)
	return histograms
}
