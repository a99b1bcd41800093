package operator

import "time"

// Listing has rows of one type.
type Listing[R any] struct {
	Rows []R
	// Incomplete says what is missing, such as a shard that didn't answer;
	// empty where nothing is.
	Incomplete string
}

// States of programs.
const (
	ProgramRunning = "running"
	ProgramIdle    = "idle"
	ProgramEnded   = "ended"
)

// ProgramRow is one program.
type ProgramRow struct {
	ID        string
	Parent    string
	Tenant    string
	Model     string
	Adapter   string
	State     string
	EndReason string
	// Priority is the class of the program's calls: the lowest is served first.
	Priority uint32
	// BudgetTokens is what the tree of programs may use in all.
	BudgetTokens uint64
	// ReservedTokens is what the running calls use at most.
	ReservedTokens uint64
	SpentTokens    uint64
	// NextSequence is the number that the next call must have.
	NextSequence  uint64
	Turns         uint64
	HistoryTokens uint64
	Shard         uint32
	// Node runs the program's call; empty where none is running.
	Node string
	// Idle is the time since the tree of programs was last active.
	Idle time.Duration
	// Holds are the engines that may keep memory for the program.
	Holds []string
}

// CallRow is one recent call of a program.
type CallRow struct {
	Program  string
	Sequence uint64
	Tenant   string
	Model    string
	// State is dispatched, finished, failed or refused.
	State   string
	Attempt uint32
	// Repeatable tells whether the call may have a second attempt.
	Repeatable bool
	Engine     string
	// Node runs the call, or ran it.
	Node string
	// Result is the name of the result code; empty for ok and for a call that
	// runs.
	Result       string
	PromptTokens uint64
	OutputTokens uint64
}

// States of engines and nodes.
const (
	StateServing = "serving"
	// StateLeaving: the engine or node takes no new work, without an order.
	StateLeaving = "leaving"
	// StateDraining: an operator ordered it to finish what it has.
	StateDraining = "draining"
	// StateDrained: the drain is complete, nothing is left there.
	StateDrained = "drained"
	// StateStopped: an operator took the engine out of use.
	StateStopped = "stopped"
	// StateEjected: the engine failed too often and gets no work for a while.
	StateEjected = "ejected"
	// StateSuspect: the node may have failed.
	StateSuspect = "suspect"
	// StateGone: the node has failed or has left.
	StateGone = "gone"
)

// EngineRow is one engine.
type EngineRow struct {
	Name       string
	Pool       string
	Zone       string
	Generation string
	Role       string
	State      string
	Models     []string
	Adapters   []string
	// Running and Waiting count requests.
	Running int
	Waiting int
	// OutstandingTokens is what is left to prefill and to decode.
	OutstandingTokens uint64
	CacheUsedTokens   uint64
	CacheLimitTokens  uint64
	// LoadAge is how old the engine's report of its load is; zero where there is
	// none.
	LoadAge time.Duration
	Address string
	// Version is that of the engine's object, for "expect version".
	Version uint64
}

// PoolRow is one pool.
type PoolRow struct {
	Name   string
	Zones  []string
	Models []string
	Roles  []string
	// MinimumEngines is how many engines must stay in the pool.
	MinimumEngines uint32
	Engines        int
	ServingEngines int
	// Version is that of the pool's object, for "expect version".
	Version uint64
}

// NodeRow is one node.
type NodeRow struct {
	Name        string
	Zone        string
	State       string
	Incarnation string
	Address     string
	// DataFolder tells whether the node keeps its replicas on disk.
	DataFolder bool
	// ConfigurationVersion is the version last heard from the node; 0 for none.
	ConfigurationVersion uint64
	// Calls counts the calls that the node runs.
	Calls int
	// Shards counts the replica sets that name the node.
	Shards int
	// Age is the time since the node started.
	Age time.Duration
	// Version is that of the node's object; 0 where there is none.
	Version uint64
}

// ShardRow is one shard.
type ShardRow struct {
	Shard    uint32
	Epoch    uint64
	Replicas []string
	Zones    []string
	// LiveReplicas counts the replicas whose node is alive.
	LiveReplicas int
	// Programs counts the records of program trees.
	Programs uint64
}

// ConfigurationRow is one object of the configuration.
type ConfigurationRow struct {
	Kind    string
	Name    string
	Version uint64
	// Operator gave the command that wrote the version; empty where it was no
	// command.
	Operator string
	// Command is the id of that command.
	Command string
	// Body is the object as JSON.
	Body string
}

// Candidate is an engine that was considered for a call. The parts of its cost
// are in seconds.
type Candidate struct {
	Engine string `json:"engine"`
	// Rejected names the rule that ruled it out; empty where it was scored.
	Rejected string `json:"rejected,omitempty"`
	// Cost is the weighted sum of its parts; the smallest wins.
	Cost         float64 `json:"cost"`
	Queue        float64 `json:"queue_seconds"`
	Prefill      float64 `json:"prefill_seconds"`
	Decode       float64 `json:"decode_seconds"`
	Transfer     float64 `json:"transfer_seconds"`
	Network      float64 `json:"network_seconds"`
	Interference float64 `json:"interference_seconds"`
	WastedCache  float64 `json:"wasted_cache_seconds"`
	Eviction     float64 `json:"eviction_seconds"`
	CachedTokens uint64  `json:"cached_tokens"`
	// Source is the engine to move context from; empty without a transfer.
	Source string `json:"source,omitempty"`
}

// Decision is one choice of an engine.
type Decision struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	// Sequence is the call's; 0 where the node doesn't remember it.
	Sequence uint64 `json:"sequence,omitempty"`
	Attempt  uint32 `json:"attempt,omitempty"`
	// Engine is empty where none could be chosen.
	Engine     string      `json:"engine"`
	Reason     string      `json:"reason"`
	Candidates []Candidate `json:"candidates"`
}
