package configuration

// Spec is the typed body of an object. A Spec is never changed once it is part
// of a Snapshot.
type Spec interface {
	// kind of the object.
	kind() Kind
	// setName fills in the object's name.
	setName(name string)
	// statedName is the name that the body states; empty where it states none.
	statedName() string
	// check reports what is wrong with the body by itself.
	check(*checker)
	// checkReferences reports what is wrong with it among the others.
	checkReferences(*checker, *Snapshot)
}

// WrittenBy tells which command wrote an object.
type WrittenBy struct {
	CommandID string `json:"command_id"`
	Operator  string `json:"operator"`
	// Previous are the ids of the commands that wrote the versions before,
	// newest first, at most PreviousCommands.
	Previous []string `json:"previous,omitempty"`
}

// PreviousCommands is how many earlier command ids an object remembers.
const PreviousCommands = 16

// Header is the part that the bodies of all kinds have in common.
type Header struct {
	// Name repeats the object's name; the body may leave it out.
	Name string `json:"name,omitempty"`
	// WrittenBy is set by the command that wrote the object.
	WrittenBy *WrittenBy `json:"written_by,omitempty"`
}

func (h *Header) setName(name string) { h.Name = name }

func (h *Header) statedName() string { return h.Name }

// Tenant may create programs.
type Tenant struct {
	Header
	// APIKeySHA256 are the SHA-256 digests of the tenant's API keys, in lower
	// case hexadecimal. The keys themselves are stored nowhere.
	APIKeySHA256 []string     `json:"api_key_sha256"`
	Limits       TenantLimits `json:"limits"`
	// Weight is the tenant's share where engines are scarce; 1 by default.
	Weight float64 `json:"weight"`
}

// TenantLimits bound what one tenant may use; 0 means no limit.
type TenantLimits struct {
	MaxConcurrentPrograms uint32 `json:"max_concurrent_programs"`
	MaxConcurrentCalls    uint32 `json:"max_concurrent_calls"`
	TokensPerMinute       uint64 `json:"tokens_per_minute"`
}

// Model is a model that engines serve.
type Model struct {
	Header
	// ContextTokens is the greatest number of tokens of prompt and answer.
	ContextTokens uint64 `json:"context_tokens"`
	// DefaultMaxTokens bounds an answer where the call names no bound.
	DefaultMaxTokens uint64 `json:"default_max_tokens"`
}

// Adapter is a variation of one model.
type Adapter struct {
	Header
	Model string `json:"model"`
}

// Role is what an engine does for a call.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Pool is a group of engines with the same task.
type Pool struct {
	Header
	Zones  []string `json:"zones"`
	Models []string `json:"models"`
	Roles  []Role   `json:"roles"`
	// MinimumEngines is how many engines of the pool must stay: a command that
	// takes one and would leave fewer is refused.
	MinimumEngines uint32 `json:"minimum_engines"`
}

// Engine is one back end.
type Engine struct {
	Header
	// Address is http://IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Generation names the engine's hardware generation.
	Generation string   `json:"generation"`
	Pool       string   `json:"pool"`
	Models     []string `json:"models"`
	Adapters   []string `json:"adapters,omitempty"`
	Role       Role     `json:"role"`
	// Draining engines finish what they have and get nothing new.
	Draining bool `json:"draining"`
	// Stopped engines are out of use.
	Stopped bool `json:"stopped"`
}

// Node carries what operators ordered of one node.
type Node struct {
	Header
	// Draining nodes finish what they have and hand over.
	Draining bool `json:"draining"`
}

// Weights steer the choice of an engine; only their ratio matters.
type Weights struct {
	Header
	// Latency is the weight of program latency.
	Latency float64 `json:"latency"`
	// WastedCache is the weight of context that must be computed again.
	WastedCache float64 `json:"wasted_cache"`
}

// Limits hold for all tenants.
type Limits struct {
	Header
	MaxRequestBytes uint64 `json:"max_request_bytes"`
	// DefaultDeadline bounds a call that names no deadline.
	DefaultDeadline Duration `json:"default_deadline"`
	// DefaultIdleLimit ends a program that is silent for so long, where its
	// creation names no limit.
	DefaultIdleLimit Duration `json:"default_idle_limit"`
	// DefaultTurnLimit bounds the turns of a program that names no limit.
	DefaultTurnLimit uint32 `json:"default_turn_limit"`
	// MaxAttempts bounds how often a repeatable call is tried.
	MaxAttempts uint32 `json:"max_attempts"`
}

// ShardMap is the first replica set of every shard. It is created once and
// never changed: later sets are decided by the shards themselves.
type ShardMap struct {
	Header
	ShardCount        uint32 `json:"shard_count"`
	ReplicationFactor uint32 `json:"replication_factor"`
	// Members are the replicas of each shard; the index is the shard's number.
	Members [][]Member `json:"members"`
}

// Member is one replica of a shard.
type Member struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Address is IP:port of the node's internal protocol.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

func (*Tenant) kind() Kind   { return KindTenant }
func (*Model) kind() Kind    { return KindModel }
func (*Adapter) kind() Kind  { return KindAdapter }
func (*Pool) kind() Kind     { return KindPool }
func (*Engine) kind() Kind   { return KindEngine }
func (*Node) kind() Kind     { return KindNode }
func (*Weights) kind() Kind  { return KindWeights }
func (*Limits) kind() Kind   { return KindLimits }
func (*ShardMap) kind() Kind { return KindShardMap }

// newSpec makes the typed body of the kind with its defaults; nil for a kind
// that isn't configuration.
func newSpec(kind Kind) Spec {
	switch kind {
	case KindTenant:
		return &Tenant{Weight: 1}
	case KindModel:
		return &Model{}
	case KindAdapter:
		return &Adapter{}
	case KindPool:
		return &Pool{}
	case KindEngine:
		return &Engine{Role: RoleMixed}
	case KindNode:
		return &Node{}
	case KindWeights:
		weights := DefaultWeights()
		return &weights
	case KindLimits:
		limits := DefaultLimits()
		return &limits
	case KindShardMap:
		return &ShardMap{}
	}
	return nil
}
