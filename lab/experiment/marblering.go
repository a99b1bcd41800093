package experiment

import (
	"time"

	"github.com/marblering/marblering/coordination/admission"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/lab/engine"
)

// marblering is the policy of the nodes.
type marblering struct {
	weights routing.Weights
	nodes   []marbleringNode
}

// marbleringNode is what one node keeps beside its tables.
type marbleringNode struct {
	shedder *admission.Shedder
	ejector *limit.Ejector
	engines []routing.EngineState
	// batches are the greatest numbers of running requests seen while others
	// waited.
	batches []int
	// usual is a moving average of the time that calls of a program take.
	usual time.Duration
}

func batchLimit(state *routing.EngineState) int {
	if state.Waiting == 0 {
		return 0
	}
	return state.Running
}

func newMarblering(weights routing.Weights) func(*simulation) policy {
	return func(s *simulation) policy {
		p := &marblering{weights: weights}
		for range s.nodes {
			p.nodes = append(p.nodes, marbleringNode{
				shedder: admission.NewShedder(admission.DefaultShedPolicy()),
				ejector: limit.NewEjector(limit.DefaultEjectionPolicy()),
				engines: make([]routing.EngineState, len(s.engines)),
				batches: make([]int, len(s.engines)),
			})
		}
		return p
	}
}

func (p *marblering) choose(s *simulation, n *simNode, c *call) choice {
	now := s.wall(s.schedule.now)
	snapshot := p.snapshot(n, now)
	request := newRequest(n, c)
	decision := routing.Choose(snapshot, request, n.random)
	if decision.Err != nil {
		return refuse(decision.Err.RetryAfter)
	}
	if pause := p.shed(s, n, c, &decision, now); pause > 0 {
		return refuse(pause)
	}
	chosen := choice{
		engine:   s.engineIndex(decision.Engine),
		source:   noEngine,
		priority: decision.Priority,
		hold:     true,
		work:     decision.Work,
		expected: decision.Expected,
	}
	if decision.Transfer != nil {
		chosen.source = s.engineIndex(decision.Transfer.From)
		chosen.prefill = decision.Transfer.Prefill
		chosen.prefillWork = decision.Transfer.Work
	}
	return chosen
}

// snapshot is what the node knows of the engines. Their learned speeds take the
// place of reported ones.
func (p *marblering) snapshot(n *simNode, now time.Time) *routing.Snapshot {
	own := &p.nodes[n.index]
	engines := own.engines[:0]
	for i, state := range n.states {
		if !n.reachable[i] {
			continue
		}
		state.Ejected = !p.mayUse(own, state.Name, now)
		learned := n.speeds.Of(state.Name)
		state.Step = learned.Step
		state.IdleStep = learned.IdleStep
		own.batches[i] = max(own.batches[i], batchLimit(&state))
		state.MaxRunning = own.batches[i]
		engines = append(engines, state)
	}
	return &routing.Snapshot{Now: now, Engines: engines, Weights: p.weights, Pending: n.ledger}
}

// probeTimeout is how long a claim to probe an ejected engine stands.
const probeTimeout = 2 * time.Second

func (p *marblering) mayUse(own *marbleringNode, name string, now time.Time) bool {
	switch own.ejector.Health(name, now) {
	case limit.Ejected:
		return false
	case limit.Probing:
		return own.ejector.ClaimProbe(name, probeTimeout, now)
	}
	return true
}

func newRequest(n *simNode, c *call) *routing.Request {
	root := c.program.tree
	return &routing.Request{
		Program:        c.program.id,
		Root:           root.id,
		Tenant:         root.script.tenant,
		Model:          modelName,
		Zone:           n.zone,
		HistoryTokens:  uint64(c.prompt - c.step.newTokens),
		NewTokens:      uint64(c.step.newTokens),
		OutputTokens:   expectedOutput,
		AttainedTokens: uint64(root.attained),
		CachedOn:       n.locality.CachedOn(c.program.id, prefixKey(c.path)),
		Excluded:       c.tried,
	}
}

// leastUsual is the part of the mean time that most programs need at least.
const leastUsual = 0.7

// shed refuses calls of new programs while the wait is long.
func (p *marblering) shed(s *simulation, n *simNode, c *call, decision *routing.Decision, now time.Time) time.Duration {
	demand := admission.Demand{
		Started:          c.program.tree.calls > 1,
		ExpectedQueue:    seconds(decision.Candidates[0].Queue),
		ExpectedDuration: decision.Expected,
		UnloadedDuration: decision.Unloaded,
		ServiceTime:      decision.Unloaded,
		TimeLeft:         s.workload.deadline - s.spent(c),
		UsualDuration:    time.Duration(leastUsual * float64(p.nodes[n.index].usual)),
		MemoryUse:        decision.MemoryUse,
		Engines:          len(n.states),
	}
	return p.nodes[n.index].shedder.Admit(demand, n.random, now)
}

func (p *marblering) finished(s *simulation, a *attempt, usage engine.Usage) {
	s.releaseAll(a.call.program, a.engine.index)
	p.observe(s, a, limit.Outcome{Expected: a.choice.expected, Duration: s.schedule.now - a.sent})
}

func (p *marblering) failed(s *simulation, a *attempt) {
	p.observe(s, a, limit.Outcome{Failed: true})
}

func (p *marblering) observe(s *simulation, a *attempt, outcome limit.Outcome) {
	ejector := p.nodes[a.node.index].ejector
	ejector.Observe(a.engine.spec.Name, outcome, s.wall(s.schedule.now))
}

func (p *marblering) ended(s *simulation, ended *program) {
	node := s.home(ended.tree)
	node.locality.Forget(ended.id)
	if ended.id == ended.tree.id && !ended.tree.failed && ended.script.counted() {
		p.nodes[node.index].learnUsual(ended.tree.busy.union())
	}
}

// learnUsual takes in the time of a program that was completed.
func (n *marbleringNode) learnUsual(took time.Duration) {
	const gain = 0.05
	if n.usual == 0 {
		n.usual = took
		return
	}
	n.usual += time.Duration(gain * float64(took-n.usual))
}

// engineIndex finds an engine by its name.
func (s *simulation) engineIndex(name string) int {
	for i := range s.deployment.Engines {
		if s.deployment.Engines[i].Name == name {
			return i
		}
	}
	return noEngine
}
