package placement_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/placement"
)

var (
	testTime = time.Unix(1_000_000, 0)
	models   = []placement.Item{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "1"}}
	adapter  = placement.Item{Name: "tune", Version: "1"}
)

// apply executes the orders on the state. Loads remain in progress until
// finishLoads is called.
func apply(t assert.TestingT, state *placement.State, orders []placement.Order) {
	for _, order := range orders {
		index := slices.IndexFunc(state.Engines, func(e placement.Engine) bool { return e.Name == order.Engine })
		engine := &state.Engines[index]
		is := func(item placement.Item) bool { return item == order.Item }
		switch order.Action {
		case placement.LoadModel, placement.LoadAdapter:
			engine.Loading = append(engine.Loading, order.Item)
		case placement.UnloadModel:
			assert.Assert(t, slices.ContainsFunc(engine.Models, is), "unload of a model that is not loaded: %v", order)
			engine.Models = slices.DeleteFunc(slices.Clone(engine.Models), is)
		case placement.UnloadAdapter:
			engine.Adapters = slices.DeleteFunc(slices.Clone(engine.Adapters), is)
		case placement.SetRole:
			engine.Role = order.Role
		}
		engine.ChangedAt = state.Now
	}
}

func finishLoads(state *placement.State) {
	for i := range state.Engines {
		engine := &state.Engines[i]
		for _, item := range engine.Loading {
			if item == adapter {
				engine.Adapters = append(engine.Adapters, item)
				continue
			}
			engine.Models = append(engine.Models, item)
		}
		engine.Loading = nil
	}
}

func drawState(t *rapid.T) placement.State {
	state := placement.State{Now: testTime}
	total := 0.0
	for i := range rapid.IntRange(4, 14).Draw(t, "engines") {
		engine := placement.Engine{
			Name:         fmt.Sprint("engine-", i),
			Zone:         fmt.Sprint("zone-", i%3),
			Role:         placement.RoleMixed,
			Capacity:     float64(rapid.IntRange(1, 20).Draw(t, "capacity")),
			PrefillRatio: float64(rapid.IntRange(1, 9).Draw(t, "ratio")),
			ModelSlots:   rapid.IntRange(1, 2).Draw(t, "places"),
		}
		total += engine.Capacity
		state.Engines = append(state.Engines, engine)
	}
	for _, model := range models {
		share := rapid.Float64Range(0, 0.6).Draw(t, "share")
		state.Demands = append(state.Demands, placement.Demand{Model: model, Load: share * total, MinEngines: 1, Adapters: []placement.Item{adapter}})
	}
	return state
}

// TestPlanConvergesWithoutFlapping checks that repeated plans reach a state that
// needs no further orders and serves every model, within all limits.
func TestPlanConvergesWithoutFlapping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		policy := placement.DefaultPolicy()
		policy.PrefillShare = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "prefill share")
		const maxRounds = 200
		rounds := 0
		for ; rounds < maxRounds; rounds++ {
			loading := 0
			orders := placement.Plan(state, policy)
			apply(t, &state, orders)
			for i := range state.Engines {
				loading += len(state.Engines[i].Loading)
				assert.Assert(t, len(state.Engines[i].Models) <= state.Engines[i].ModelSlots)
			}
			assert.Assert(t, loading <= policy.MaxConcurrentLoads)
			finishLoads(&state)
			state.Now = state.Now.Add(policy.ChangeCooldown)
			if len(orders) == 0 {
				break
			}
		}
		assert.Assert(t, rounds < maxRounds, "plans do not converge after %d rounds", maxRounds)
		for _, demand := range state.Demands {
			found := slices.ContainsFunc(state.Engines, func(e placement.Engine) bool { return slices.Contains(e.Models, demand.Model) })
			assert.Assert(t, found, "no engine serves %s", demand.Model.Name)
		}
		assert.Equal(t, len(placement.Plan(state, policy)), 0)
	})
}

// TestUnloadsOnlyWhatOthersServe checks that no plan unloads a model in demand from
// its last engine.
func TestUnloadsOnlyWhatOthersServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		policy := placement.DefaultPolicy()
		for range 40 {
			for i := range state.Demands {
				state.Demands[i].Load *= rapid.Float64Range(0.3, 3).Draw(t, "change")
			}
			before := served(&state)
			apply(t, &state, placement.Plan(state, policy))
			after := served(&state)
			for model := range before {
				assert.Assert(t, after[model], "%s was unloaded from its last engine", model)
			}
			finishLoads(&state)
			state.Now = state.Now.Add(policy.ChangeCooldown / 3)
		}
	})
}

func served(state *placement.State) map[string]bool {
	found := make(map[string]bool)
	for _, engine := range state.Engines {
		for _, model := range engine.Models {
			found[model.Name] = true
		}
	}
	return found
}

func TestPlanRules(t *testing.T) {
	a, b := models[0], models[1]
	newer := placement.Item{Name: "a", Version: "2"}
	engine := func(name string, places int, loaded ...placement.Item) placement.Engine {
		return placement.Engine{Name: name, Zone: "z", Capacity: 10, ModelSlots: places, Models: loaded}
	}
	cases := []struct {
		name    string
		engines []placement.Engine
		demands []placement.Demand
		change  func(*placement.State, *placement.Policy)
		want    []string
	}{
		{"nothing to do", []placement.Engine{engine("1", 1, a)}, []placement.Demand{{Model: a, Load: 5}}, nil, nil},
		{"short of capacity", []placement.Engine{engine("1", 1, a), engine("2", 1)}, []placement.Demand{{Model: a, Load: 9}}, nil, []string{"2 load_model a"}},
		{"no change within the hysteresis", []placement.Engine{engine("1", 1, a), engine("2", 1, a)}, []placement.Demand{{Model: a, Load: 6}, {Model: b, Load: 1}}, nil, nil},
		{"no change during the cooldown", []placement.Engine{engine("1", 1, a), engine("2", 1)}, []placement.Demand{{Model: a, Load: 9}},
			func(s *placement.State, _ *placement.Policy) { s.Engines[1].ChangedAt = s.Now }, nil},
		{"cooldown waived for an unserved model", []placement.Engine{engine("2", 1)}, []placement.Demand{{Model: a, MinEngines: 1}},
			func(s *placement.State, _ *placement.Policy) { s.Engines[0].ChangedAt = s.Now }, []string{"2 load_model a"}},
		{"limit of concurrent loads reached", []placement.Engine{engine("1", 1, a), engine("2", 1)}, []placement.Demand{{Model: a, Load: 9}},
			func(_ *placement.State, p *placement.Policy) { p.MaxConcurrentLoads = 0 }, nil},
		{"leaving engines get no orders", []placement.Engine{engine("1", 1, a), engine("2", 1)}, []placement.Demand{{Model: a, Load: 9}},
			func(s *placement.State, _ *placement.Policy) { s.Engines[1].Leaving = true }, nil},
		{"adapter loaded with its model", []placement.Engine{engine("1", 1, a)}, []placement.Demand{{Model: a, Adapters: []placement.Item{adapter}}}, nil, []string{"1 load_adapter tune"}},
		{"replaced version is unloaded", []placement.Engine{engine("1", 2, a, newer)}, []placement.Demand{{Model: newer, MinEngines: 1}}, nil, []string{"1 unload_model a"}},
		{"highest prefill ratio gets the prefill role", []placement.Engine{engine("1", 1), engine("2", 1)}, nil,
			func(s *placement.State, p *placement.Policy) { s.Engines[1].PrefillRatio, p.PrefillShare = 5, 0.5 }, []string{"2 set_role "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := placement.State{Now: testTime, Engines: c.engines, Demands: c.demands}
			policy := placement.DefaultPolicy()
			if c.change != nil {
				c.change(&state, &policy)
			}
			var got []string
			for _, order := range placement.Plan(state, policy) {
				got = append(got, fmt.Sprintf("%s %s %s", order.Engine, order.Action, order.Item.Name))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// fencedPool implements Fencer and Sender for engines that reject stale fencing
// tokens.
type fencedPool struct {
	issued  uint64
	newest  uint64
	failing string
	sent    []placement.Order
}

func (f *fencedPool) Next(context.Context) (uint64, error) {
	f.issued++
	return f.issued, nil
}

func (f *fencedPool) Send(_ context.Context, fence uint64, order placement.Order) error {
	if fence < f.newest {
		return merry.Wrap(placement.ErrStaleFence)
	}
	if order.Engine == f.failing {
		return merry.New("no answer")
	}
	f.newest = fence
	f.sent = append(f.sent, order)
	return nil
}

func TestControllerStopsOnStaleFence(t *testing.T) {
	state := placement.State{
		Now:     testTime,
		Engines: []placement.Engine{{Name: "1", Capacity: 1, ModelSlots: 1}, {Name: "2", Capacity: 1, ModelSlots: 1}},
		Demands: []placement.Demand{{Model: models[0], MinEngines: 1}, {Model: models[1], MinEngines: 1}},
	}
	pool := &fencedPool{failing: "1"}
	controller := placement.NewController(pool, pool, placement.DefaultPolicy)
	round, err := controller.Run(t.Context(), state)
	assert.NilError(t, err)
	assert.Equal(t, round.Fence, uint64(1))
	assert.Equal(t, len(round.Sent), 1)
	assert.Equal(t, len(round.Failed), 1)

	pool.newest = 100
	_, err = controller.Run(t.Context(), state)
	assert.Assert(t, errors.Is(err, placement.ErrStaleFence))
	assert.Equal(t, len(pool.sent), 1)

	emptyRound, err := controller.Run(t.Context(), placement.State{Now: testTime})
	assert.NilError(t, err)
	assert.Equal(t, emptyRound.Fence, uint64(0), "a fencing token was issued for an empty plan")
}
