package routing

import (
	"time"
)

// Roles an engine may have. An engine without a role is mixed. Prefill and
// decode engines serve any call, but are set up for one part of the work.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	// RoleStandby engines hold weights but receive no calls.
	RoleStandby = "standby"
)

// EngineState is what a node knows of one engine. The load part lags.
type EngineState struct {
	Name       string
	Address    string
	Zone       string
	Generation string
	Role       string
	Models     []string
	Adapters   []string
	// Leaving engines receive no new work.
	Leaving bool
	// Ejected engines were found slow or failing and wait for their return.
	Ejected bool

	// Running and Waiting count requests at the time of the report.
	Running int
	Waiting int
	// OutstandingTokens are the tokens still to be computed, prompt and output,
	// at the time of the report.
	OutstandingTokens uint64
	// ReportedAt is when the engine measured its load; zero for no report.
	ReportedAt time.Time

	// PrefillSpeed is the engine's prompt throughput in tokens per second.
	PrefillSpeed float64
	// DecodeSpeed is the output speed of one request in tokens per second, for
	// engines of which no step times were learned.
	DecodeSpeed float64
	// Step is the learned time of an output token; see Speeds.
	Step StepTime
	// IdleStep is the learned time of an output token on the idle engine.
	IdleStep float64
	// TransferSpeed is the rate at which the engine exports or imports context
	// in tokens per second; zero takes that of the weights.
	TransferSpeed float64
	// MaxRunning is the greatest number of requests that run at once; zero
	// means unknown.
	MaxRunning int

	// CacheLimit and CacheUsed are tokens of context memory; a limit of zero
	// means unknown.
	CacheLimit uint64
	CacheUsed  uint64
}

// Work is an amount of computing that an engine was given.
type Work struct {
	Requests     int
	PromptTokens uint64
	OutputTokens uint64
	// ContextTokens of memory are taken beyond what is cached.
	ContextTokens uint64
	// Urgency is the sum of the requests' urgencies in percent; see
	// Weights.UrgencyTokens.
	Urgency uint64
}

// Pending reports a node's own work at an engine. Ledger implements it.
type Pending interface {
	// Pending returns the work still on its way, and what of it a load report
	// measured at the given time shows.
	Pending(engine string, reportedAt time.Time) PendingWork
}

// PendingWork is a node's own work at one engine.
type PendingWork struct {
	// InFlight is all own work that hasn't finished; prompts that have been
	// computed are left out.
	InFlight Work
	// AtReport is what InFlight was when the report was measured: the part of
	// the report that is the node's own.
	AtReport Work
	// NewContext are the tokens of memory taken by all work that was dispatched
	// after the report, finished or not.
	NewContext uint64
}

// Weights say what a deployment values. Costs are in seconds.
type Weights struct {
	// Latency multiplies the expected time of the call.
	Latency float64
	// WastedCache multiplies the compute time of tokens that an engine of the
	// fleet already has and that would be computed again.
	WastedCache float64
	// Eviction multiplies the compute time of the tokens that the call would
	// push out of a full cache.
	Eviction float64
	// Interference multiplies the time that the call adds to the calls already
	// running on the engine. One makes the sum of all latencies least, zero the
	// call's own.
	Interference float64
	// UrgencyTokens makes the time of a program count more the more service its
	// tree has attained, so that long programs aren't slowed in each of their
	// calls: an urgency of half at the start that grows by one with each so many
	// tokens, up to four. Zero counts all alike.
	UrgencyTokens float64
	// CrossZone is the cost of serving a call from another zone.
	CrossZone time.Duration
	// TransferSpeed is the rate of exporting or importing context in tokens per
	// second, for engines whose own isn't known; zero forbids transfers to and
	// from them.
	TransferSpeed float64
	// TransferSetup is the fixed cost of one transfer.
	TransferSetup time.Duration
	// Tolerance is the relative difference of cost within which candidates
	// count as equal and one is drawn at random, so that several nodes with the
	// same lagging snapshot don't all choose the same engine.
	Tolerance float64
}

// LatencyWeights are the defaults: they suit a deployment that values short
// programs most.
func LatencyWeights() Weights {
	return Weights{
		Latency:       1,
		WastedCache:   2,
		Eviction:      0.25,
		Interference:  1,
		UrgencyTokens: 2000,
		CrossZone:     2 * time.Millisecond,
		TransferSetup: 20 * time.Millisecond,
		Tolerance:     0.02,
	}
}

// Snapshot is the input of a decision. It is only read, so one snapshot may
// serve many concurrent decisions.
type Snapshot struct {
	Now     time.Time
	Engines []EngineState
	Weights Weights
	// Pending adds the node's own work; nil for none.
	Pending Pending
	// SubsetSize bounds how many engines are scored; zero means
	// DefaultSubsetSize.
	SubsetSize int
	// MaxQueue is the longest expected queueing before a call is shed; zero
	// sheds none.
	MaxQueue time.Duration
}

// DefaultSubsetSize is the number of engines scored for one call.
const DefaultSubsetSize = 16

func (s *Snapshot) subsetSize() int {
	if s.SubsetSize > 0 {
		return s.SubsetSize
	}
	return DefaultSubsetSize
}
