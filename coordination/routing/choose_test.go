package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/state/result"
)

var testTime = time.Unix(1_000_000, 0)

// newFleet makes engines of three generations over the zones.
func newFleet(count, zones int) []routing.EngineState {
	speeds := []float64{2000, 5000, 12000}
	fleet := make([]routing.EngineState, count)
	for i := range fleet {
		fleet[i] = routing.EngineState{
			Name:         fmt.Sprintf("engine-%03d", i),
			Address:      fmt.Sprintf("http://127.0.0.1:%d", 9000+i),
			Zone:         fmt.Sprintf("zone-%d", i%zones),
			Models:       []string{"small"},
			Adapters:     []string{"grind"},
			PrefillSpeed: speeds[i%len(speeds)],
			DecodeSpeed:  40,
			CacheLimit:   200_000,
			ReportedAt:   testTime,
		}
	}
	return fleet
}

func newSnapshot(fleet []routing.EngineState) *routing.Snapshot {
	return &routing.Snapshot{Now: testTime, Engines: fleet, Weights: routing.LatencyWeights()}
}

func newRequest(program string) *routing.Request {
	return &routing.Request{
		Program:       program,
		Root:          program,
		Model:         "small",
		HistoryTokens: 4000,
		NewTokens:     200,
		OutputTokens:  100,
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestFiltersRejectEngines(t *testing.T) {
	cases := []struct {
		filter routing.Filter
		change func(*routing.EngineState, *routing.Request)
	}{
		{routing.FilterLeaving, func(e *routing.EngineState, _ *routing.Request) { e.Leaving = true }},
		{routing.FilterEjected, func(e *routing.EngineState, _ *routing.Request) { e.Ejected = true }},
		{routing.FilterExcluded, func(e *routing.EngineState, r *routing.Request) { r.Excluded = []string{e.Name} }},
		{routing.FilterRole, func(e *routing.EngineState, _ *routing.Request) { e.Role = routing.RoleStandby }},
		{routing.FilterModel, func(_ *routing.EngineState, r *routing.Request) { r.Model = "other" }},
		{routing.FilterAdapter, func(_ *routing.EngineState, r *routing.Request) { r.Adapter = "other" }},
		{routing.FilterMemory, func(e *routing.EngineState, _ *routing.Request) { e.CacheLimit = 4299 }},
	}
	for _, c := range cases {
		t.Run(string(c.filter), func(t *testing.T) {
			fleet := newFleet(1, 1)
			request := newRequest("p")
			c.change(&fleet[0], request)
			decision := routing.Choose(newSnapshot(fleet), request, newRandom())
			assert.Equal(t, decision.Engine, "")
			assert.Equal(t, decision.Err.Code, result.NoEngine)
			assert.Assert(t, decision.Err.RetryAfter > 0)
			assert.Equal(t, decision.Candidates[0].Rejected, c.filter)
		})
	}
}

func TestCostDecidesBetweenQueueAndCache(t *testing.T) {
	cases := []struct {
		name        string
		outstanding uint64
		want        string
	}{
		{"cache wins over an idle engine", 0, "engine-000"},
		{"a long queue costs more than the prefill", 40_000, "engine-001"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(2, 1)
			fleet[0].OutstandingTokens = c.outstanding
			request := newRequest("p")
			request.CachedOn = []routing.Cached{{Engine: "engine-000", Tokens: 4000}}
			decision := routing.Choose(newSnapshot(fleet), request, newRandom())
			assert.Equal(t, decision.Engine, c.want)
		})
	}
}

func TestOwnWorkPreventsHerd(t *testing.T) {
	ledger := routing.NewLedger()
	snapshot := newSnapshot(newFleet(12, 3))
	snapshot.Pending = ledger
	perEngine := make(map[string]int)
	for i := range 48 {
		decision := routing.Choose(snapshot, newRequest(fmt.Sprint("p", i)), newRandom())
		ledger.Reserve(decision.Engine, fmt.Sprint("r", i), decision.Work, testTime.Add(time.Millisecond))
		perEngine[decision.Engine]++
	}
	assert.Equal(t, len(perEngine), 12)
	for engine, count := range perEngine {
		assert.Assert(t, count <= 10, "%s got %d of 48", engine, count)
	}
}

func TestShedsEarly(t *testing.T) {
	fleet := newFleet(1, 1)
	fleet[0].OutstandingTokens = 20_000
	snapshot := newSnapshot(fleet)
	snapshot.MaxQueue = 4 * time.Second
	decision := routing.Choose(snapshot, newRequest("p"), newRandom())
	assert.Equal(t, decision.Err.Code, result.Overloaded)
	assert.Equal(t, decision.Err.RetryAfter, 6*time.Second)

	snapshot.MaxQueue = 0
	request := newRequest("p")
	request.Deadline = testTime.Add(2 * time.Second)
	decision = routing.Choose(snapshot, request, newRandom())
	assert.Equal(t, decision.Err.Code, result.DeadlineExceeded)
}

func TestMovesContextWhereFaster(t *testing.T) {
	fleet := newFleet(2, 1)
	fleet[0].Leaving = true
	snapshot := newSnapshot(fleet)
	snapshot.Weights.TransferSpeed = 100_000
	request := newRequest("p")
	request.CachedOn = []routing.Cached{{Engine: "engine-000", Tokens: 4000}}
	decision := routing.Choose(snapshot, request, newRandom())
	assert.Equal(t, decision.Engine, "engine-001")
	assert.DeepEqual(t, decision.Transfer, &routing.Transfer{From: "engine-000", Address: fleet[0].Address, Tokens: 4000})
	assert.Equal(t, decision.Work.PromptTokens, uint64(200))
}

func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 60).Draw(t, "engines"), 4)
		for i := range fleet {
			fleet[i].Leaving = rapid.Bool().Draw(t, "leaving")
			fleet[i].OutstandingTokens = rapid.Uint64Range(0, 1<<20).Draw(t, "outstanding")
		}
		snapshot := newSnapshot(fleet)
		request := newRequest(rapid.StringN(1, 8, -1).Draw(t, "program"))
		holder := rapid.IntRange(0, len(fleet)-1).Draw(t, "holder")
		request.CachedOn = []routing.Cached{{Engine: fleet[holder].Name, Tokens: 4000}}

		first := routing.Choose(snapshot, request, newRandom())
		second := routing.Choose(snapshot, request, newRandom())
		assert.Equal(t, first.Engine, second.Engine)
		assert.Equal(t, first.Reason, second.Reason)
		scored := 0
		for _, candidate := range first.Candidates {
			if candidate.Rejected == routing.FilterNone {
				scored++
			}
			if candidate.Engine == first.Engine {
				assert.Equal(t, candidate.Rejected, routing.FilterNone)
			}
		}
		assert.Assert(t, scored <= routing.DefaultSubsetSize)
		for _, engine := range fleet {
			if engine.Name == first.Engine {
				assert.Assert(t, !engine.Leaving)
			}
		}
	})
}

// TestSubsetIsStable checks the property of rendezvous hashing: an engine that
// leaves changes only the decisions that had it.
func TestSubsetIsStable(t *testing.T) {
	scoredFor := func(fleet []routing.EngineState, program string) map[string]bool {
		scored := make(map[string]bool)
		for _, candidate := range routing.Choose(newSnapshot(fleet), newRequest(program), newRandom()).Candidates {
			if candidate.Rejected == routing.FilterNone {
				scored[candidate.Engine] = true
			}
		}
		return scored
	}
	for i := range 50 {
		program := fmt.Sprint("program-", i)
		fleet := newFleet(100, 4)
		before := scoredFor(fleet, program)
		fleet[17].Leaving = true
		after := scoredFor(fleet, program)
		for engine := range before {
			assert.Assert(t, after[engine] || engine == fleet[17].Name, "%s left the subset of %s", engine, program)
		}
	}
}

// TestPriorityFollowsService checks that more service never lowers a program's
// rank within its class until it is taken for a loop, and that no program
// overtakes one of a class before its own.
func TestPriorityFollowsService(t *testing.T) {
	const runaway = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		class := rapid.Uint32Range(0, 1000).Draw(t, "class")
		attained := rapid.Uint64Range(0, runaway-1).Draw(t, "attained")
		more := rapid.Uint64Range(attained, runaway-1).Draw(t, "more")
		beyond := rapid.Uint64Min(runaway).Draw(t, "beyond")
		assert.Assert(t, routing.Priority(class, more) <= routing.Priority(class, attained))
		assert.Assert(t, routing.Priority(class, beyond) > routing.Priority(class, attained))
		assert.Assert(t, routing.Priority(class, beyond) < routing.Priority(class+1, attained))
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 800} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			snapshot := newSnapshot(newFleet(count, 4))
			ledger := routing.NewLedger()
			snapshot.Pending = ledger
			for i := range count * 4 {
				ledger.Reserve(snapshot.Engines[i%count].Name, fmt.Sprint(i), routing.Work{Requests: 1, PromptTokens: 500}, testTime)
			}
			request := newRequest("program")
			request.CachedOn = []routing.Cached{{Engine: "engine-003", Tokens: 3000}}
			random := newRandom()
			b.ReportAllocs()
			for b.Loop() {
				routing.Choose(snapshot, request, random)
			}
		})
	}
}
