package placement

import (
	"slices"
	"time"
)

// Item is a version of a model or an adapter.
type Item struct {
	Name    string
	Version string
}

// Roles of an engine.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Engine is what is known of an engine of the pool.
type Engine struct {
	Name string
	Zone string
	Role string
	// Capacity is the work it does in relation to others, such as its measured
	// tokens per second.
	Capacity float64
	// PrefillRatio is its prefill speed in relation to its decode speed.
	PrefillRatio float64
	// Places is how many models fit into its memory.
	Places   int
	Models   []Item
	Adapters []Item
	// Loading are models and adapters on their way from the weight store.
	Loading []Item
	// Leaving engines get no orders.
	Leaving bool
	// ChangedAt is when its models or its role were last changed.
	ChangedAt time.Time
}

// Demand is what is asked of one model.
type Demand struct {
	Model Item
	// Adapters must be wherever the model is.
	Adapters []Item
	// Load is the work asked for, in the unit of the engines' capacities,
	// smoothed over minutes.
	Load float64
	// MinEngines have the model whatever the load, in different zones as far as
	// there are any.
	MinEngines int
}

// State is the input of a plan.
type State struct {
	Now     time.Time
	Engines []Engine
	Demands []Demand
}

// Policy bounds a plan.
type Policy struct {
	// Headroom is the capacity a model needs in relation to its load.
	Headroom float64
	// Surplus is the capacity in relation to its load that a model must keep
	// when it is unloaded somewhere. The gap between the two is the hysteresis.
	Surplus float64
	// MinStay is the least time between two changes of an engine's models or
	// role, except for models that nothing else serves.
	MinStay time.Duration
	// MaxLoading bounds the loads under way in the whole pool.
	MaxLoading int
	// PrefillShare is the part of the pool's capacity that is to have the
	// prefill role; zero leaves all roles as they are.
	PrefillShare float64
	// RoleGap is by how much the share may differ before a role is changed.
	RoleGap float64
}

// DefaultPolicy suits pools of ten and more engines.
func DefaultPolicy() Policy {
	return Policy{
		Headroom:   1.25,
		Surplus:    1.75,
		MinStay:    10 * time.Minute,
		MaxLoading: 2,
		RoleGap:    0.15,
	}
}

// Action is what an order asks of an engine.
type Action string

// Actions, as engines name them.
const (
	LoadModel     Action = "load_model"
	UnloadModel   Action = "unload_model"
	LoadAdapter   Action = "load_adapter"
	UnloadAdapter Action = "unload_adapter"
	SetRole       Action = "set_role"
)

// Order asks an engine for a change.
type Order struct {
	Engine string
	Action Action
	// Item is set but for SetRole, Role for SetRole alone.
	Item Item
	Role string
	// Reason says in one line why.
	Reason string
}

func (e *Engine) has(model Item) bool { return slices.Contains(e.Models, model) }

func (e *Engine) isLoading(item Item) bool { return slices.Contains(e.Loading, item) }

// rested says whether the engine may be changed again.
func (e *Engine) rested(state *State, policy *Policy) bool {
	return state.Now.Sub(e.ChangedAt) >= policy.MinStay
}
