package experiment

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/lab/engine"
)

// modelName is the one model of the experiments.
const modelName = "model"

// Lags of what engines tell of themselves.
const (
	loadLag = time.Second
	// eventDelay is how late cache events reach the nodes.
	eventDelay = 500 * time.Millisecond
	// eventLoss is the share of cache events that never reach a node.
	eventLoss = 0.05
)

// simEngine is an engine of the simulated fleet.
type simEngine struct {
	simulation *simulation
	spec       EngineSpec
	index      int
	core       *engine.Core
	// life grows when the engine is lost: what belongs to an earlier life is
	// dropped.
	life  int
	alive bool
	// wake is the version of the newest wake-up; older ones are void.
	wake     uint64
	attempts map[uint64]*attempt
	// events are all cache events, as they happened.
	events []engine.CacheEvent
	cursor uint64
	cached *cacheTruth
}

func newSimEngine(simulation *simulation, index int, spec EngineSpec) *simEngine {
	e := &simEngine{simulation: simulation, spec: spec, index: index}
	e.start()
	return e
}

// start begins a life with an empty memory.
func (e *simEngine) start() {
	e.alive = true
	e.core = engine.NewCore(engine.CoreOptions{
		Generation: e.spec.Generation,
		Models:     []engine.Loaded{{Name: modelName, Version: "1"}},
		LoadLag:    loadLag,
		// The simulation delays and drops events itself, on their way to each
		// node, since the measurements need all of them at once.
		CacheEventDelay: 1,
	})
	e.attempts = make(map[uint64]*attempt)
	e.events = nil
	e.cursor = 0
	e.cached = newCacheTruth()
	e.touch()
}

// lose ends a life and returns what was under way.
func (e *simEngine) lose() []*attempt {
	e.alive = false
	e.life++
	e.wake++
	lost := sortedAttempts(e.attempts)
	e.attempts = make(map[uint64]*attempt)
	e.cached = newCacheTruth()
	return lost
}

// touch plans the next wake-up. It is called after everything that changes the
// core.
func (e *simEngine) touch() {
	e.wake++
	at, any := e.core.NextEvent()
	if !any {
		return
	}
	version := e.wake
	e.simulation.schedule.at(at, func() {
		if version == e.wake && e.alive {
			e.advance()
		}
	})
}

// advance hands out what has happened in the core.
func (e *simEngine) advance() {
	happened := append([]engine.Event(nil), e.core.Advance(e.simulation.schedule.now)...)
	e.collectCacheEvents()
	e.touch()
	for _, event := range happened {
		e.handle(event)
	}
}

func (e *simEngine) handle(event engine.Event) {
	if event.Kind == engine.Imported {
		e.simulation.imported(e, event)
		return
	}
	found := e.attempts[event.ID]
	if found == nil {
		return
	}
	if event.Kind != engine.FirstToken {
		delete(e.attempts, event.ID)
	}
	e.simulation.reply(e, found, event)
}

func (e *simEngine) collectCacheEvents() {
	for _, event := range e.core.CacheEvents(e.simulation.schedule.now, e.cursor) {
		e.cursor = event.Number
		e.events = append(e.events, event)
		e.cached.observe(event)
	}
}

// eventLost says whether a cache event never reaches a node.
func eventLost(engineIndex, nodeIndex int, number uint64) bool {
	key := [3]byte{byte(engineIndex), byte(nodeIndex), byte(number)}
	hash := xxhash.Sum64(append(key[:], byte(number>>8), byte(number>>16), byte(number>>24)))
	const scale = 1 << 32
	return float64(hash>>32)/scale < eventLoss
}

// prefillSeconds is the time the engine needs to prefill tokens when nothing
// else runs.
func (e *simEngine) prefillSeconds(tokens int) float64 {
	return float64(tokens) / e.spec.Generation.PrefillRate
}
