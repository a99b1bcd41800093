package engine

import (
	"math"
	"slices"
	"time"
)

// Loaded is a version of a model or adapter.
type Loaded struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// OrderAction is what an order asks for.
type OrderAction int

// Actions of an order.
const (
	LoadModel OrderAction = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
	SetRole
	Drain
	Undrain
)

// Order changes what an engine has loaded or does. One with a fence older than
// the newest seen is refused, so that a sender that was replaced does no harm.
type Order struct {
	Fence  uint64
	Action OrderAction
	// Item is what to load or unload.
	Item Loaded
	Role Role
}

// load is a model or adapter on its way into the engine.
type load struct {
	item    Loaded
	adapter bool
	due     time.Duration
}

// Status is what an engine is and has loaded.
type Status struct {
	Models   []Loaded
	Adapters []Loaded
	Loading  []Loaded
	Fence    uint64
	Role     Role
	Leaving  bool
}

// Status returns what the engine is and has loaded.
func (c *Core) Status(now time.Duration) Status {
	c.run(now)
	status := Status{
		Models:   slices.Clone(c.models),
		Adapters: slices.Clone(c.adapters),
		Fence:    c.fence,
		Role:     c.role,
		Leaving:  c.leaving,
	}
	for _, load := range c.loads {
		status.Loading = append(status.Loading, load.item)
	}
	return status
}

// Order obeys an order or returns a *Refusal. Loading takes time: it ends with
// an event of kind LoadFinished.
func (c *Core) Order(now time.Duration, order Order) error {
	c.run(now)
	if order.Fence < c.fence {
		return &Refusal{Reason: OldFence, Fence: c.fence}
	}
	if !c.sensible(order) {
		return &Refusal{Reason: Invalid}
	}
	c.fence = order.Fence
	switch order.Action {
	case LoadModel, LoadAdapter:
		c.startLoad(order.Item, order.Action == LoadAdapter)
	case UnloadModel:
		c.models = without(c.models, order.Item.Name)
		c.abandonLoads(order.Item.Name, false)
	case UnloadAdapter:
		c.adapters = without(c.adapters, order.Item.Name)
		c.abandonLoads(order.Item.Name, true)
	case SetRole:
		c.setRole(order.Role)
	case Drain:
		c.leaving = true
	case Undrain:
		c.leaving = false
	}
	return nil
}

func (c *Core) sensible(order Order) bool {
	switch order.Action {
	case LoadModel, LoadAdapter, UnloadModel, UnloadAdapter:
		return order.Item.Name != ""
	case SetRole:
		return order.Role == RoleMixed || order.Role == RolePrefill || order.Role == RoleDecode
	case Drain, Undrain:
		return true
	}
	return false
}

// Drain makes the engine refuse new requests without an order. Those under way
// and waiting go on.
func (c *Core) Drain(now time.Duration) {
	c.run(now)
	c.leaving = true
}

func (c *Core) setRole(role Role) {
	c.role = role
	c.profile = c.options.Generation.as(role)
	c.schedule()
}

func (c *Core) startLoad(item Loaded, adapter bool) {
	if slices.Contains(*c.loadedList(adapter), item) {
		c.abandonLoads(item.Name, adapter)
		return
	}
	for _, other := range c.loads {
		if other.item == item && other.adapter == adapter {
			return
		}
	}
	c.abandonLoads(item.Name, adapter)
	started := load{item: item, adapter: adapter, due: math.MaxInt64}
	if c.options.LoadDuration != nil {
		started.due = c.now + max(0, c.options.LoadDuration(c.now, item))
	}
	c.loads = append(c.loads, started)
	c.emit(Event{Kind: LoadStarted, Item: item})
}

// abandonLoads forgets loads that a newer order has overtaken.
func (c *Core) abandonLoads(name string, adapter bool) {
	c.loads = slices.DeleteFunc(c.loads, func(other load) bool {
		return other.item.Name == name && other.adapter == adapter
	})
}

// FinishLoad ends a load that an event of kind LoadStarted asked for. A load
// that failed, or that a newer order has overtaken, changes nothing.
func (c *Core) FinishLoad(now time.Duration, item Loaded, failed bool) {
	c.run(now)
	for index := range c.loads {
		if c.loads[index].item != item {
			continue
		}
		if failed {
			c.loads = slices.Delete(c.loads, index, index+1)
			return
		}
		c.loads[index].due = c.now
		break
	}
	c.finishLoads()
}

func (c *Core) finishLoads() {
	for index := 0; index < len(c.loads); {
		done := c.loads[index]
		if done.due > c.now {
			index++
			continue
		}
		c.loads = slices.Delete(c.loads, index, index+1)
		list := c.loadedList(done.adapter)
		*list = append(without(*list, done.item.Name), done.item)
		c.emit(Event{Kind: LoadFinished, Item: done.item})
	}
}

func (c *Core) loadedList(adapter bool) *[]Loaded {
	if adapter {
		return &c.adapters
	}
	return &c.models
}

func find(list []Loaded, name string) (Loaded, bool) {
	index := slices.IndexFunc(list, func(item Loaded) bool { return item.Name == name })
	if index < 0 {
		return Loaded{}, false
	}
	return list[index], true
}

func without(list []Loaded, name string) []Loaded {
	return slices.DeleteFunc(slices.Clone(list), func(item Loaded) bool { return item.Name == name })
}
