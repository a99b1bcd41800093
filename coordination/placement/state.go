package placement

import (
	"slices"
	"time"
)

// Item identifies a model or an adapter by name and version.
type Item struct {
	Name    string
	Version string
}

// Engine roles.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Engine is the known state of an engine of the pool.
type Engine struct {
	Name string
	Zone string
	Role string
	// Capacity is the engine's throughput in a unit common to all engines, such as
	// tokens per second.
	Capacity float64
	// PrefillRatio is the ratio of prefill speed to decode speed.
	PrefillRatio float64
	// ModelSlots is the number of models that fit into the engine's memory.
	ModelSlots int
	Models     []Item
	Adapters   []Item
	// Loading lists the models and adapters being loaded from the weight store.
	Loading []Item
	// Leaving engines take no more work and get no orders.
	Leaving bool
	// ChangedAt is the time of the last change of models or role.
	ChangedAt time.Time
}

// Demand describes the load and the requirements of one model.
type Demand struct {
	Model Item
	// Adapters must be loaded on every engine that has the model.
	Adapters []Item
	// Load is the requested throughput in the unit of Engine.Capacity, smoothed
	// over minutes.
	Load float64
	// MinEngines is the number of engines that must have the model regardless of
	// load, spread over zones where possible.
	MinEngines int
}

// State is the input of a plan.
type State struct {
	Now     time.Time
	Engines []Engine
	Demands []Demand
}

// Policy holds the thresholds and limits of a plan.
type Policy struct {
	// Headroom is the ratio of capacity to load below which a model is loaded on
	// another engine.
	Headroom float64
	// UnloadHeadroom is the ratio of capacity to load that a model must keep on the
	// other engines before it is unloaded from one. It is greater than Headroom to
	// provide hysteresis.
	UnloadHeadroom float64
	// ChangeCooldown is the minimum time between two changes of an engine's models or
	// role. It is waived for models that no engine serves.
	ChangeCooldown time.Duration
	// MaxConcurrentLoads limits the loads in progress in the whole pool.
	MaxConcurrentLoads int
	// PrefillShare is the target fraction of the pool's capacity with the prefill
	// role; zero disables role changes.
	PrefillShare float64
	// RoleTolerance is the deviation from PrefillShare above which a role changes.
	RoleTolerance float64
}

// DefaultPolicy returns a policy for pools of ten or more engines.
func DefaultPolicy() Policy {
	return Policy{
		Headroom:           1.25,
		UnloadHeadroom:     1.75,
		ChangeCooldown:     10 * time.Minute,
		MaxConcurrentLoads: 2,
		RoleTolerance:      0.15,
	}
}

// Action is the kind of change that an order requests.
type Action string

// Actions, by the names of the engine API.
const (
	LoadModel     Action = "load_model"
	UnloadModel   Action = "unload_model"
	LoadAdapter   Action = "load_adapter"
	UnloadAdapter Action = "unload_adapter"
	SetRole       Action = "set_role"
)

// Order requests a change from an engine.
type Order struct {
	Engine string
	Action Action
	// Item is set for all actions except SetRole, Role only for SetRole.
	Item Item
	Role string
	// Reason explains the order in one line.
	Reason string
}

func (e *Engine) has(model Item) bool { return slices.Contains(e.Models, model) }

func (e *Engine) isLoading(item Item) bool { return slices.Contains(e.Loading, item) }

// cooldownElapsed reports whether the engine may be changed again.
func (e *Engine) cooldownElapsed(state *State, policy *Policy) bool {
	return state.Now.Sub(e.ChangedAt) >= policy.ChangeCooldown
}
