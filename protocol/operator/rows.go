package operator

import "time"

// Listing is rows of one type.
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
	ID             string
	Parent         string
	Tenant         string
	Model          string
	Adapter        string
	State          string
	EndReason      string
	Priority       uint32
	BudgetTokens   uint64
	ReservedTokens uint64
	SpentTokens    uint64
	NextSequence   uint64
	Turns          uint64
	HistoryTokens  uint64
	Shard          uint32
	// Node is the one that serves the program's calls at present.
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
	State        string
	Attempt      uint32
	Repeatable   bool
	Engine       string
	Node         string
	Result       string
	PromptTokens uint64
	OutputTokens uint64
}

// States of engines and nodes; Alive, suspect and gone are of nodes only.
const (
	StateServing  = "serving"
	StateLeaving  = "leaving"
	StateDraining = "draining"
	// StateDrained: the drain is complete, nothing is left there.
	StateDrained = "drained"
	StateStopped = "stopped"
	StateEjected = "ejected"
	StateSuspect = "suspect"
	StateGone    = "gone"
)

// EngineRow is one engine.
type EngineRow struct {
	Name              string
	Pool              string
	Zone              string
	Generation        string
	Role              string
	State             string
	Models            []string
	Adapters          []string
	Running           int
	Waiting           int
	OutstandingTokens uint64
	CacheUsedTokens   uint64
	CacheLimitTokens  uint64
	// LoadAge is how old the engine's report of its load is.
	LoadAge time.Duration
	Address string
	// Version is that of the engine's object, for "expect version".
	Version uint64
}

// PoolRow is one pool.
type PoolRow struct {
	Name           string
	Zones          []string
	Models         []string
	Roles          []string
	MinimumEngines uint32
	Engines        int
	ServingEngines int
	Version        uint64
}

// NodeRow is one node.
type NodeRow struct {
	Name                 string
	Zone                 string
	State                string
	Incarnation          string
	Address              string
	DataFolder           bool
	ConfigurationVersion uint64
	Calls                int
	Shards               int
	Age                  time.Duration
	// Version is that of the node's object; 0 where there is none.
	Version uint64
}

// ShardRow is one shard.
type ShardRow struct {
	Shard    uint32
	Epoch    uint64
	Replicas []string
	Zones    []string
	// LiveReplicas are those whose node is alive.
	LiveReplicas int
	Programs     uint64
}

// ConfigurationRow is one object of the configuration.
type ConfigurationRow struct {
	Kind    string
	Name    string
	Version uint64
	// Operator and Command wrote the version.
	Operator string
	Command  string
	// Body is the object as JSON.
	Body string
}

// Candidate is an engine that was considered for a call. The parts of its cost
// are in seconds.
type Candidate struct {
	Engine string `json:"engine"`
	// Rejected names the rule that ruled it out; empty where it was scored.
	Rejected string `json:"rejected,omitempty"`
	// Cost is the weighted sum; the smallest wins.
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
