package routing

import (
	"cmp"
	"slices"
	"time"
)

// Retained is context that an engine holds for a program that pauses.
type Retained struct {
	Program string
	Engine  string
	Tokens  uint64
	// Chance that the program calls again, and when it is expected to; see
	// Returns.
	Chance    float64
	Remaining time.Duration
}

// RetentionAction is what to do with held context.
type RetentionAction string

// Actions; what a plan doesn't name is kept.
const (
	// DropContext gives the memory back.
	DropContext RetentionAction = "drop"
	// MoveContext exports the context to another engine and gives the memory
	// back here.
	MoveContext RetentionAction = "move"
)

// RetentionOrder is one step of a plan.
type RetentionOrder struct {
	Retained
	Action RetentionAction
	// Target is where to move the context.
	Target string
}

// Bounds of retention.
const (
	// worthlessChance is the chance of a return below which context is dropped
	// even where memory is free, and pressedChance where it is short.
	worthlessChance = 0.05
	pressedChance   = 0.3
	// pressedUse is the share of an engine's memory in use from which on it is
	// short, roomyUse that up to which another engine takes context in.
	pressedUse = 0.92
	roomyUse   = 0.75
	// transferShare is the part of the expected pause that a move may take.
	transferShare = 0.5
)

// PlanRetention decides what becomes of contexts held for pausing programs.
// Those that are unlikely to be used again are dropped. On engines whose memory
// is short, those expected to be unused for longest are moved to engines with
// room, at most maxMoves of them, as far as a move takes less than half of the
// pause; the others are kept, and the engine evicts the least recently used.
func PlanRetention(snapshot *Snapshot, held []Retained, maxMoves int) []RetentionOrder {
	plan := newMemoryPlan(snapshot)
	var orders []RetentionOrder
	var movable []Retained
	for _, retained := range held {
		pressed := plan.use(retained.Engine) > pressedUse
		if retained.Chance < worthlessChance || (pressed && retained.Chance < pressedChance) {
			orders = append(orders, RetentionOrder{Retained: retained, Action: DropContext})
			plan.free(retained.Engine, retained.Tokens)
			continue
		}
		movable = append(movable, retained)
	}
	slices.SortStableFunc(movable, func(a, b Retained) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Program, b.Program))
	})
	for _, retained := range movable {
		if maxMoves == 0 {
			break
		}
		target := plan.target(retained)
		if target == "" {
			continue
		}
		orders = append(orders, RetentionOrder{Retained: retained, Action: MoveContext, Target: target})
		plan.move(retained, target)
		maxMoves--
	}
	return orders
}

// memoryPlan is the memory of the engines as it will be after the orders so
// far.
type memoryPlan struct {
	snapshot *Snapshot
	used     map[string]float64
	engines  map[string]*EngineState
}

func newMemoryPlan(snapshot *Snapshot) *memoryPlan {
	plan := &memoryPlan{
		snapshot: snapshot,
		used:     make(map[string]float64, len(snapshot.Engines)),
		engines:  make(map[string]*EngineState, len(snapshot.Engines)),
	}
	for i := range snapshot.Engines {
		engine := &snapshot.Engines[i]
		busy := estimateLoad(snapshot, engine)
		plan.used[engine.Name] = float64(busy.memory)
		plan.engines[engine.Name] = engine
	}
	return plan
}

// use is the share of an engine's memory in use; zero where it isn't known.
func (p *memoryPlan) use(name string) float64 {
	engine := p.engines[name]
	if engine == nil || engine.CacheLimit == 0 {
		return 0
	}
	return p.used[name] / float64(engine.CacheLimit)
}

func (p *memoryPlan) free(name string, tokens uint64) {
	p.used[name] = max(p.used[name]-float64(tokens), 0)
}

func (p *memoryPlan) move(retained Retained, target string) {
	p.free(retained.Engine, retained.Tokens)
	p.used[target] += float64(retained.Tokens)
}

// target is the engine with most room that may take the context in, or empty.
func (p *memoryPlan) target(retained Retained) string {
	source := p.engines[retained.Engine]
	if source == nil || p.use(retained.Engine) <= pressedUse {
		return ""
	}
	best := ""
	for i := range p.snapshot.Engines {
		engine := &p.snapshot.Engines[i]
		if !p.takes(engine, source, retained) {
			continue
		}
		if best == "" || p.use(engine.Name) < p.use(best) {
			best = engine.Name
		}
	}
	return best
}

func (p *memoryPlan) takes(engine, source *EngineState, retained Retained) bool {
	if engine == source || engine.Leaving || engine.Ejected || engine.CacheLimit == 0 {
		return false
	}
	after := (p.used[engine.Name] + float64(retained.Tokens)) / float64(engine.CacheLimit)
	if after > roomyUse {
		return false
	}
	transfer, possible := transferTime(&p.snapshot.Weights, source, engine, retained.Tokens)
	return possible && transfer < transferShare*retained.Remaining.Seconds()
}
