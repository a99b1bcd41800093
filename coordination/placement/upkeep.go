package placement

import (
	"cmp"
	"math"
	"slices"
)

// placeAdapters schedules loads of missing adapters on every engine that has
// their model. They take precedence over models because they are small.
func (p *planner) placeAdapters() {
	for i := range p.state.Demands {
		demand := &p.state.Demands[i]
		for _, engine := range p.enginesWith(demand.Model, false) {
			p.placeAdaptersOn(engine, demand)
		}
	}
}

func (p *planner) placeAdaptersOn(engine *Engine, demand *Demand) {
	for _, adapter := range demand.Adapters {
		if slices.Contains(engine.Adapters, adapter) || engine.isLoading(adapter) {
			continue
		}
		if p.loadsLeft <= 0 {
			return
		}
		p.loadsLeft--
		p.addOrder(Order{Engine: engine.Name, Action: LoadAdapter, Item: adapter, Reason: "required by " + demand.Model.Name})
	}
}

// unloadUnused unloads models that are replaced by another version on the same
// engine, and adapters that no model of the engine uses.
func (p *planner) unloadUnused() {
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if engine.Leaving || p.changed[engine.Name] {
			continue
		}
		p.unloadReplacedModels(engine)
		p.unloadUnusedAdapters(engine)
	}
}

func (p *planner) unloadReplacedModels(engine *Engine) {
	for _, model := range engine.Models {
		replaced := slices.ContainsFunc(engine.Models, func(other Item) bool {
			return other.Name == model.Name && other != model && p.demandOf(other) != nil
		})
		if replaced && p.demandOf(model) == nil {
			p.addOrder(Order{Engine: engine.Name, Action: UnloadModel, Item: model, Reason: "replaced by another loaded version"})
		}
	}
}

func (p *planner) unloadUnusedAdapters(engine *Engine) {
	for _, adapter := range engine.Adapters {
		if !p.adapterWanted(engine, adapter) {
			p.addOrder(Order{Engine: engine.Name, Action: UnloadAdapter, Item: adapter, Reason: "no model of the engine uses it"})
		}
	}
}

func (p *planner) adapterWanted(engine *Engine, adapter Item) bool {
	for i := range p.state.Demands {
		demand := &p.state.Demands[i]
		used := slices.Contains(demand.Adapters, adapter)
		if used && (engine.has(demand.Model) || engine.isLoading(demand.Model)) {
			return true
		}
	}
	return false
}

// assignRoles changes the role of at most one engine per plan to approach
// Policy.PrefillShare. It picks the engine with the highest PrefillRatio to gain
// the prefill role and the one with the lowest to lose it.
func (p *planner) assignRoles() {
	if p.policy.PrefillShare <= 0 {
		return
	}
	share := p.prefillShare()
	switch {
	case share < p.policy.PrefillShare-p.policy.RoleTolerance:
		p.changeRole(RolePrefill, func(a, b *Engine) int { return cmp.Compare(b.PrefillRatio, a.PrefillRatio) })
	case share > p.policy.PrefillShare+p.policy.RoleTolerance:
		p.changeRole(RoleMixed, func(a, b *Engine) int { return cmp.Compare(a.PrefillRatio, b.PrefillRatio) })
	}
}

func (p *planner) prefillShare() float64 {
	var prefill, total float64
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if engine.Leaving {
			continue
		}
		total += engine.Capacity
		if engine.Role == RolePrefill {
			prefill += engine.Capacity
		}
	}
	if total == 0 {
		return 0
	}
	return prefill / total
}

// changeRole assigns the role to the first eligible engine, in the given order,
// that brings the prefill share closer to the target.
func (p *planner) changeRole(role string, compare func(a, b *Engine) int) {
	var candidates []*Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		isPrefill := engine.Role == RolePrefill
		if engine.Leaving || p.changed[engine.Name] || !engine.cooldownElapsed(p.state, p.policy) || isPrefill == (role == RolePrefill) {
			continue
		}
		candidates = append(candidates, engine)
	}
	slices.SortStableFunc(candidates, compare)
	for _, engine := range candidates {
		if p.improvesPrefillShare(engine, role) {
			p.addOrder(Order{Engine: engine.Name, Action: SetRole, Role: role, Reason: "the share of prefill capacity deviates from the target by more than the tolerance"})
			return
		}
	}
}

func (p *planner) improvesPrefillShare(engine *Engine, role string) bool {
	before := math.Abs(p.prefillShare() - p.policy.PrefillShare)
	former := engine.Role
	engine.Role = role
	after := math.Abs(p.prefillShare() - p.policy.PrefillShare)
	engine.Role = former
	return after < before
}
