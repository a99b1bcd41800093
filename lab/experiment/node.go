package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/lab/engine"
)

// pollInterval is how often a node reads the state of an engine.
const pollInterval = 500 * time.Millisecond

// localityPrograms bounds the programs that a node remembers.
const localityPrograms = 50_000

// simNode is a node that takes decisions. It knows what it polls and what it
// has sent itself; nothing else.
type simNode struct {
	simulation *simulation
	index      int
	zone       string
	random     *rand.Rand
	// states are what the node last read of the engines.
	states []routing.EngineState
	// reachable engines answered the last poll or call.
	reachable []bool
	cursors   []eventCursor
	ledger    *routing.Ledger
	locality  *routing.Locality
	speeds    *routing.Speeds
}

// eventCursor is how far a node has read an engine's cache events.
type eventCursor struct {
	life int
	next int
}

func newSimNode(simulation *simulation, index int, seed uint64) *simNode {
	deployment := &simulation.deployment
	node := &simNode{
		simulation: simulation,
		index:      index,
		zone:       deployment.Zones[index%len(deployment.Zones)],
		random:     rand.New(rand.NewPCG(seed, uint64(index)<<32)),
		states:     make([]routing.EngineState, len(deployment.Engines)),
		reachable:  make([]bool, len(deployment.Engines)),
		cursors:    make([]eventCursor, len(deployment.Engines)),
		ledger:     routing.NewLedger(),
		locality:   routing.NewLocality(localityPrograms, 2*eventDelay),
		speeds:     routing.NewSpeeds(),
	}
	return node
}

// startPolling reads every engine at once and then in turn, so that the polls
// of several nodes and engines don't fall together.
func (n *simNode) startPolling() {
	for i, e := range n.simulation.engines {
		n.poll(e)
		offset := pollInterval * time.Duration(i+1) / time.Duration(len(n.simulation.engines)+1)
		n.pollAfter(offset, e)
	}
}

func (n *simNode) pollAfter(pause time.Duration, e *simEngine) {
	n.simulation.schedule.after(pause, func() {
		n.poll(e)
		n.pollAfter(pollInterval, e)
	})
}

func (n *simNode) poll(e *simEngine) {
	if !e.alive || n.simulation.cutOff(n.zone, e.spec.Zone) {
		n.reachable[e.index] = false
		return
	}
	n.reachable[e.index] = true
	load := e.core.Load(n.simulation.schedule.now)
	e.touch()
	n.states[e.index] = n.engineState(e, load)
	n.readEvents(e)
}

func (n *simNode) engineState(e *simEngine, load engine.Load) routing.EngineState {
	return routing.EngineState{
		Name:              e.spec.Name,
		Zone:              e.spec.Zone,
		Generation:        e.spec.Generation.Name,
		Role:              routing.RoleMixed,
		Models:            modelList,
		Running:           load.Running,
		Waiting:           load.Waiting,
		OutstandingTokens: uint64(load.OutstandingTokens),
		ReportedAt:        n.simulation.wall(load.Sampled),
		PrefillSpeed:      load.PrefillRate,
		DecodeSpeed:       load.DecodeRate,
		TransferSpeed:     e.spec.Generation.TransferRate,
		CacheLimit:        uint64(load.CacheLimitTokens),
		CacheUsed:         uint64(load.CacheUsedTokens),
	}
}

var modelList = []string{modelName}

// readEvents passes the cache events that have been published, and aren't lost,
// to the node's locality.
func (n *simNode) readEvents(e *simEngine) {
	now := n.simulation.schedule.now
	cursor := &n.cursors[e.index]
	if cursor.life != e.life {
		*cursor = eventCursor{life: e.life}
		n.locality.ForgetEngine(e.spec.Name)
	}
	for cursor.next < len(e.events) && e.events[cursor.next].At+eventDelay <= now {
		event := e.events[cursor.next]
		cursor.next++
		if eventLost(e.index, n.index, event.Number) {
			continue
		}
		n.locality.Observe(e.spec.Name, routing.Event{
			Number:  event.Number,
			Kind:    eventKind(event.Kind),
			Program: event.Program,
			Tokens:  uint64(event.Tokens),
		}, n.simulation.wall(now))
	}
}

func eventKind(kind engine.CacheEventKind) routing.EventKind {
	if kind == engine.CacheEvicted {
		return routing.EventEvicted
	}
	return routing.EventStored
}
