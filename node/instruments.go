package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
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

// decisionChosen is the value of the label result for a choice that found an
// engine. The others are the names of result codes.
const decisionChosen = "chosen"

// Values of the label limit of refusals.
const (
	limitConcurrentCalls = "concurrent_calls"
	limitTokenRate       = "tokens_per_minute"
	limitRetryBudget     = "retry_budget"
	limitEngine          = "engine"
)

// Buckets of the time of a change of a record, a factor of two apart, from 0.5 ms (less
// than a round trip between zones) to 4 s.
const (
	firstRecordBucketSeconds = 0.0005
	recordBucketFactor       = 2
	recordBucketCount        = 14
)

// instruments are the metrics of one node that its parts don't register
// themselves. docs/OPERATIONS.md lists all metrics; a test compares the two.
type instruments struct {
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
	factory := promauto.With(registerer)
	registered := &instruments{}
	registered.registerAttempts(factory)
	registered.registerDecisions(factory)
	registered.registerSweep(factory)
	return registered
}

// registerAttempts adds the metrics of attempts at engines and changes of records.
func (i *instruments) registerAttempts(factory promauto.Factory) {
	i.attempts = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_attempts_total",
		Help: "Attempts at engines by outcome: answered, failed, leaving or refused.",
	}, []string{"outcome"})
	i.lostAttempts = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_lost_attempts_total",
		Help: "Attempts of other nodes found lost, to be taken over or ended, by who told: membership or the executor.",
	}, []string{"witness"})
	i.recordChanges = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_record_changes_total",
		Help: "Changes and reads of program records for callers by outcome: stored, refused, no_quorum or unknown.",
	}, []string{"outcome"})
	i.recordSeconds = factory.NewHistogram(prometheus.HistogramOpts{
		Name:    "marblering_record_change_seconds",
		Help:    "Time of a change or read of a program record over its quorum.",
		Buckets: prometheus.ExponentialBuckets(firstRecordBucketSeconds, recordBucketFactor, recordBucketCount),
	})
}

// registerDecisions adds the metrics of choices of an engine and limits.
func (i *instruments) registerDecisions(factory promauto.Factory) {
	i.decisions = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_routing_decisions_total",
		Help: "Choices of an engine by result: chosen, or the name of the result code.",
	}, []string{"result"})
	i.refusals = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_limit_refusals_total",
		Help: "Refusals by the limit that was reached: concurrent_calls, tokens_per_minute, retry_budget or engine.",
	}, []string{"limit"})
	i.unanswered = factory.NewCounterVec(prometheus.CounterOpts{
		Name: "marblering_limit_unanswered_total",
		Help: "Questions to the node that keeps a limit that it didn't answer in time; the call went on.",
	}, []string{"limit"})
}

// registerSweep adds the metrics of the sweep.
func (i *instruments) registerSweep(factory promauto.Factory) {
	i.sweptRecords = factory.NewCounter(prometheus.CounterOpts{
		Name: "marblering_sweep_records_total",
		Help: "Program records that the sweep took up.",
	})
	i.endedPrograms = factory.NewCounter(prometheus.CounterOpts{
		Name: "marblering_sweep_programs_ended_total",
		Help: "Programs ended by the sweep at their idle limit.",
	})
	i.endedCalls = factory.NewCounter(prometheus.CounterOpts{
		Name: "marblering_sweep_calls_ended_total",
		Help: "Calls ended by the sweep because their executor was lost and their deadline had passed.",
	})
	i.releasedHolds = factory.NewCounter(prometheus.CounterOpts{
		Name: "marblering_sweep_holds_released_total",
		Help: "Contexts released at engines whose record no longer knew of them.",
	})
}
