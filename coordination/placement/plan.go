package placement

import (
	"cmp"
	"fmt"
	"slices"
)

// Plan returns the orders that bring the pool nearer to its demands. It is
// empty where the pool is as it should be, and for the time being where only
// more loads would help than the weight store bears.
func Plan(state State, policy Policy) []Order {
	p := &planner{state: &state, policy: &policy}
	p.loadsLeft = policy.MaxLoading - p.loading()
	p.placeAdapters()
	p.placeModels()
	p.dropOldVersions()
	p.assignRoles()
	return p.orders
}

// planner is one run of Plan.
type planner struct {
	state     *State
	policy    *Policy
	orders    []Order
	loadsLeft int
	// changed are the engines that the plan has an order for already.
	changed map[string]bool
}

func (p *planner) loading() int {
	count := 0
	for i := range p.state.Engines {
		count += len(p.state.Engines[i].Loading)
	}
	return count
}

func (p *planner) order(order Order) {
	if p.changed == nil {
		p.changed = make(map[string]bool)
	}
	p.changed[order.Engine] = true
	p.orders = append(p.orders, order)
}

// placeModels loads where capacity is short, the model that is shortest first.
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
		p.loadSomewhere(demand, short)
	}
}

// coverage is the capacity a model has, or is going to have, in relation to its
// load.
func (p *planner) coverage(demand *Demand) float64 {
	const smallest = 1e-9
	return p.capacity(demand.Model) / max(demand.Load, smallest)
}

// capacity is what the engines give to a model that have it or are loading it,
// each shared equally among its models.
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

// loadingModels counts what an engine is loading that isn't an adapter.
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

// shortage says why a model needs another engine, or nothing.
func (p *planner) shortage(demand *Demand) string {
	engines := len(p.engines(demand.Model, true))
	if engines < demand.MinEngines {
		return fmt.Sprintf("%d engines have %s, at least %d are wanted", engines, demand.Model.Name, demand.MinEngines)
	}
	if coverage := p.coverage(demand); demand.Load > 0 && coverage < p.policy.Headroom {
		return fmt.Sprintf("%s has %.2f of its load, %.2f is wanted", demand.Model.Name, coverage, p.policy.Headroom)
	}
	return ""
}

// engines lists those that have a model, or are loading it where that counts.
func (p *planner) engines(model Item, alsoLoading bool) []*Engine {
	var list []*Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if !engine.Leaving && (engine.has(model) || (alsoLoading && engine.isLoading(model))) {
			list = append(list, engine)
		}
	}
	return list
}

// loadSomewhere loads a model on an engine with a free place, or makes one on
// an engine whose model is served well enough by others.
func (p *planner) loadSomewhere(demand *Demand, reason string) {
	unserved := len(p.engines(demand.Model, true)) == 0
	var best *Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if !p.takes(engine, demand.Model, unserved) {
			continue
		}
		if best == nil || p.prefers(demand.Model, engine, best) {
			best = engine
		}
	}
	if best == nil {
		return
	}
	if !hasPlace(best, p.loadingModels(best)) {
		surplus, _ := p.surplusModel(best)
		p.order(Order{Engine: best.Name, Action: UnloadModel, Item: surplus, Reason: "makes room for " + demand.Model.Name})
	}
	p.loadsLeft--
	p.order(Order{Engine: best.Name, Action: LoadModel, Item: demand.Model, Reason: reason})
}

func (p *planner) takes(engine *Engine, model Item, unserved bool) bool {
	if engine.Leaving || engine.has(model) || engine.isLoading(model) || p.changed[engine.Name] {
		return false
	}
	if !unserved && !engine.rested(p.state, p.policy) {
		return false
	}
	if hasPlace(engine, p.loadingModels(engine)) {
		return true
	}
	_, found := p.surplusModel(engine)
	return found
}

func hasPlace(engine *Engine, loading int) bool { return len(engine.Models)+loading < engine.Places }

// prefers compares two engines for a model: a free place before one to be made,
// then the zone with fewest engines of the model, then the emptier and the
// stronger one.
func (p *planner) prefers(model Item, a, b *Engine) bool {
	freeA, freeB := hasPlace(a, p.loadingModels(a)), hasPlace(b, p.loadingModels(b))
	if freeA != freeB {
		return freeA
	}
	order := cmp.Or(
		cmp.Compare(p.inZone(model, a.Zone), p.inZone(model, b.Zone)),
		cmp.Compare(len(a.Models), len(b.Models)),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Name, b.Name),
	)
	return order < 0
}

func (p *planner) inZone(model Item, zone string) int {
	count := 0
	for _, engine := range p.engines(model, true) {
		if engine.Zone == zone {
			count++
		}
	}
	return count
}

// surplusModel is a model of the engine that the others serve well enough.
// Models that nobody asks for come first.
func (p *planner) surplusModel(engine *Engine) (Item, bool) {
	if !engine.rested(p.state, p.policy) {
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
	return best, most > p.policy.Surplus
}

// unloads reports whether the plan takes the model from the engine already: two
// orders of one plan must not each count on the other's engine.
func (p *planner) unloads(engine *Engine, model Item) bool {
	return slices.ContainsFunc(p.orders, func(order Order) bool {
		return order.Action == UnloadModel && order.Engine == engine.Name && order.Item == model
	})
}

// coverageWithout is the coverage that a model keeps if an engine unloads it:
// that of engines which have it now. It is zero where too few would be left.
func (p *planner) coverageWithout(model Item, without *Engine) float64 {
	demand := p.demandOf(model)
	if demand == nil {
		demand = &Demand{Model: model}
	}
	left := 0.0
	count := 0
	for _, engine := range p.engines(model, false) {
		if engine == without || p.unloads(engine, model) {
			continue
		}
		count++
		left += engine.Capacity / float64(len(engine.Models))
	}
	if count < demand.MinEngines {
		return 0
	}
	const smallest = 1e-9
	return max(left, smallest*2*p.policy.Surplus) / max(demand.Load, smallest)
}
