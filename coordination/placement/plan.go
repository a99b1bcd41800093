package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// Plan returns the orders that bring the pool closer to its demands. It returns
// none if the pool meets them, or if more loads are needed but
// Policy.MaxConcurrentLoads is reached.
func Plan(state State, policy Policy) []Order {
	p := &planner{state: &state, policy: &policy}
	p.loadsLeft = policy.MaxConcurrentLoads - p.loading()
	p.placeAdapters()
	p.placeModels()
	p.unloadUnused()
	p.assignRoles()
	return p.orders
}

// planner holds the state of a single run of Plan.
type planner struct {
	state     *State
	policy    *Policy
	orders    []Order
	loadsLeft int
	// changed contains the engines that already have an order in this plan.
	changed map[string]bool
}

func (p *planner) loading() int {
	count := 0
	for i := range p.state.Engines {
		count += len(p.state.Engines[i].Loading)
	}
	return count
}

func (p *planner) addOrder(order Order) {
	if p.changed == nil {
		p.changed = make(map[string]bool)
	}
	p.changed[order.Engine] = true
	p.orders = append(p.orders, order)
}

// placeModels schedules loads of under-provisioned models, lowest coverage first.
func (p *planner) placeModels() {
	demands := slices.Clone(p.state.Demands)
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(p.coverage(&a), p.coverage(&b)), cmp.Compare(a.Model.Name, b.Model.Name))
	})
	for i := range demands {
		demand := &demands[i]
		short := p.shortage(demand)
		if short == "" || p.loadsLeft <= 0 {
			continue
		}
		p.scheduleLoad(demand, short)
	}
}

// coverage returns the ratio of a model's capacity, including loads in progress,
// to its load.
func (p *planner) coverage(demand *Demand) float64 {
	const smallest = 1e-9
	return p.capacity(demand.Model) / max(demand.Load, smallest)
}

// capacity returns the total capacity available to a model on the engines that
// have it or are loading it. Each engine's capacity is divided equally among its
// models.
func (p *planner) capacity(model Item) float64 {
	total := 0.0
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if engine.Leaving || !(engine.has(model) || engine.isLoading(model)) {
			continue
		}
		total += engine.Capacity / float64(max(len(engine.Models)+p.loadingModels(engine), 1))
	}
	return total
}

// loadingModels counts the models in demand that an engine is loading.
func (p *planner) loadingModels(engine *Engine) int {
	count := 0
	for _, item := range engine.Loading {
		if p.demandOf(item) != nil {
			count++
		}
	}
	return count
}

func (p *planner) demandOf(model Item) *Demand {
	for i := range p.state.Demands {
		if p.state.Demands[i].Model == model {
			return &p.state.Demands[i]
		}
	}
	return nil
}

// shortage returns why a model needs another engine, or an empty string if it
// does not.
func (p *planner) shortage(demand *Demand) string {
	engines := len(p.enginesWith(demand.Model, true))
	if engines < demand.MinEngines {
		return fmt.Sprintf("%d engines have %s, minimum is %d", engines, demand.Model.Name, demand.MinEngines)
	}
	if coverage := p.coverage(demand); demand.Load > 0 && coverage < p.policy.Headroom {
		return fmt.Sprintf("%s has capacity for %.2f of its load, minimum is %.2f", demand.Model.Name, coverage, p.policy.Headroom)
	}
	return ""
}

// enginesWith lists the engines that have a model and, if alsoLoading is set,
// those that are loading it. Leaving engines are left out.
func (p *planner) enginesWith(model Item, alsoLoading bool) []*Engine {
	var list []*Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if !engine.Leaving && (engine.has(model) || (alsoLoading && engine.isLoading(model))) {
			list = append(list, engine)
		}
	}
	return list
}

// scheduleLoad loads a model on an engine with a free slot, or first unloads a
// surplus model to free one.
func (p *planner) scheduleLoad(demand *Demand, reason string) {
	unserved := len(p.enginesWith(demand.Model, true)) == 0
	var best *Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if !p.canLoad(engine, demand.Model, unserved) {
			continue
		}
		if best == nil || p.prefers(demand.Model, engine, best) {
			best = engine
		}
	}
	if best == nil {
		return
	}
	if !hasFreeSlot(best, p.loadingModels(best)) {
		surplus, _ := p.surplusModel(best)
		p.addOrder(Order{Engine: best.Name, Action: UnloadModel, Item: surplus, Reason: "frees a slot for " + demand.Model.Name})
	}
	p.loadsLeft--
	p.addOrder(Order{Engine: best.Name, Action: LoadModel, Item: demand.Model, Reason: reason})
}

// canLoad reports whether the model can be loaded on the engine. The cooldown is
// waived for models that no engine serves.
func (p *planner) canLoad(engine *Engine, model Item, unserved bool) bool {
	if engine.Leaving || engine.has(model) || engine.isLoading(model) || p.changed[engine.Name] {
		return false
	}
	if !unserved && !engine.cooldownElapsed(p.state, p.policy) {
		return false
	}
	if hasFreeSlot(engine, p.loadingModels(engine)) {
		return true
	}
	_, found := p.surplusModel(engine)
	return found
}

func hasFreeSlot(engine *Engine, loading int) bool {
	return len(engine.Models)+loading < engine.ModelSlots
}

// prefers reports whether engine a is a better target for a model than b. It
// compares by free slot, engines with the model in the zone, number of models,
// capacity and name.
func (p *planner) prefers(model Item, a, b *Engine) bool {
	freeA, freeB := hasFreeSlot(a, p.loadingModels(a)), hasFreeSlot(b, p.loadingModels(b))
	if freeA != freeB {
		return freeA
	}
	order := cmp.Or(
		cmp.Compare(p.countInZone(model, a.Zone), p.countInZone(model, b.Zone)),
		cmp.Compare(len(a.Models), len(b.Models)),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

func (p *planner) countInZone(model Item, zone string) int {
	count := 0
	for _, engine := range p.enginesWith(model, true) {
		if engine.Zone == zone {
			count++
		}
	}
	return count
}

// surplusModel returns the model of the engine with the highest coverage on the
// other engines, if that exceeds Policy.UnloadHeadroom. Models without demand
// come first.
func (p *planner) surplusModel(engine *Engine) (Item, bool) {
	if !engine.cooldownElapsed(p.state, p.policy) {
		return Item{}, false
	}
	var best Item
	most := 0.0
	for _, model := range engine.Models {
		left := p.coverageWithout(model, engine)
		if left > most {
			best, most = model, left
		}
	}
	return best, most > p.policy.UnloadHeadroom
}

// alreadyUnloads reports whether the plan already unloads the model from the
// engine. Without this check two engines could each unload a model and rely on
// the other to keep it.
func (p *planner) alreadyUnloads(engine *Engine, model Item) bool {
	return slices.ContainsFunc(p.orders, func(order Order) bool {
		return order.Action == UnloadModel && order.Engine == engine.Name && order.Item == model
	})
}

// coverageWithout returns the coverage that a model keeps if one engine unloads
// it, not counting loads in progress. It returns zero if fewer than
// Demand.MinEngines would remain.
func (p *planner) coverageWithout(model Item, without *Engine) float64 {
	demand := p.demandOf(model)
	if demand == nil {
		demand = &Demand{Model: model}
	}
	left := 0.0
	count := 0
	for _, engine := range p.enginesWith(model, false) {
		if engine == without || p.alreadyUnloads(engine, model) {
			continue
		}
		count++
		left += engine.Capacity / float64(len(engine.Models))
	}
	if count < demand.MinEngines {
		return 0
	}
	const smallest = 1e-9
	return max(left, smallest*2*p.policy.UnloadHeadroom) / max(demand.Load, smallest)
}
