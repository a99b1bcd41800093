package placement

import (
	"cmp"
	"math"
	"slices"
)

// placeAdapters loads the adapters of each model wherever the model is.
// Adapters are small, so they come before further models.
func (p *planner) placeAdapters() {
	for i := range p.state.Demands {
		demand := &p.state.Demands[i]
		for _, engine := range p.engines(demand.Model, false) {
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
		p.order(Order{Engine: engine.Name, Action: LoadAdapter, Item: adapter, Reason: "goes with " + demand.Model.Name})
	}
}

// dropOldVersions unloads models of which the same engine has the wanted
// version as well, and adapters that go with no model of the engine.
func (p *planner) dropOldVersions() {
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		if engine.Leaving || p.changed[engine.Name] {
			continue
		}
		p.dropOldModels(engine)
		p.dropAdapters(engine)
	}
}

func (p *planner) dropOldModels(engine *Engine) {
	for _, model := range engine.Models {
		replaced := slices.ContainsFunc(engine.Models, func(other Item) bool {
			return other.Name == model.Name && other != model && p.demandOf(other) != nil
		})
		if replaced && p.demandOf(model) == nil {
			p.order(Order{Engine: engine.Name, Action: UnloadModel, Item: model, Reason: "a newer version is loaded"})
		}
	}
}

func (p *planner) dropAdapters(engine *Engine) {
	for _, adapter := range engine.Adapters {
		if !p.adapterWanted(engine, adapter) {
			p.order(Order{Engine: engine.Name, Action: UnloadAdapter, Item: adapter, Reason: "no model of the engine uses it"})
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

// assignRoles changes at most one engine's role, towards the wanted share of
// prefill capacity: the engine that is relatively best, or worst, at it.
func (p *planner) assignRoles() {
	if p.policy.PrefillShare <= 0 {
		return
	}
	share := p.prefillShare()
	switch {
	case share < p.policy.PrefillShare-p.policy.RoleGap:
		p.changeRole(RolePrefill, func(a, b *Engine) int { return cmp.Compare(b.PrefillRatio, a.PrefillRatio) })
	case share > p.policy.PrefillShare+p.policy.RoleGap:
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

// changeRole gives the role to the first engine in order that may change and
// after which the share is nearer to what is wanted.
func (p *planner) changeRole(role string, compare func(a, b *Engine) int) {
	var candidates []*Engine
	for i := range p.state.Engines {
		engine := &p.state.Engines[i]
		isPrefill := engine.Role == RolePrefill
		if engine.Leaving || p.changed[engine.Name] || !engine.rested(p.state, p.policy) || isPrefill == (role == RolePrefill) {
			continue
		}
		candidates = append(candidates, engine)
	}
	slices.SortStableFunc(candidates, compare)
	for _, engine := range candidates {
		if p.improves(engine, role) {
			p.order(Order{Engine: engine.Name, Action: SetRole, Role: role, Reason: "the share of prefill capacity is off by more than the gap"})
			return
		}
	}
}

func (p *planner) improves(engine *Engine, role string) bool {
	before := math.Abs(p.prefillShare() - p.policy.PrefillShare)
	former := engine.Role
	engine.Role = role
	after := math.Abs(p.prefillShare() - p.policy.PrefillShare)
	engine.Role = former
	return after < before
}
