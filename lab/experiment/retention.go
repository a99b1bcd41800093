package experiment

import (
	"time"

	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/lab/engine"
)

// retentionInterval is how often a node looks at the contexts held for its
// pausing programs, and maxMoves how many it moves then.
const (
	retentionInterval = 2 * time.Second
	maxMoves          = 4
)

// retainer is what a node keeps of its pausing programs.
type retainer struct {
	returns *routing.Returns
	pausing []*program
}

// returned tells the table how long the program of a call was silent.
func (r *retainer) returned(c *call) {
	p := c.program
	if p.turns > 0 && !p.returnSeen {
		p.returnSeen = true
		r.returns.Returned(returnClass(p), c.issued-p.lastActive)
	}
}

// returnClass is the class of a program whose pauses are alike, as far as a
// node can tell.
func returnClass(p *program) string { return p.tree.script.tenant }

// startRetention looks at the held contexts again and again.
func (p *marblering) startRetention(s *simulation, n *simNode) {
	s.schedule.after(retentionInterval, func() {
		p.retain(s, n)
		p.startRetention(s, n)
	})
}

func (p *marblering) retain(s *simulation, n *simNode) {
	own := &p.nodes[n.index].retainer
	held := own.held(s)
	snapshot := p.snapshot(n, s.wall(s.schedule.now))
	for _, order := range routing.PlanRetention(snapshot, held.contexts, maxMoves) {
		kept := held.programs[order.Program]
		switch order.Action {
		case routing.DropContext:
			s.release(kept, s.engineIndex(order.Engine))
			n.locality.Lost(kept.id, order.Engine)
		case routing.MoveContext:
			s.moveHeld(n, kept, s.engineIndex(order.Engine), s.engineIndex(order.Target))
		}
	}
}

// heldContexts are the contexts of pausing programs.
type heldContexts struct {
	contexts []routing.Retained
	programs map[string]*program
}

// held lists the contexts of the programs that still pause, and forgets the
// others.
func (r *retainer) held(s *simulation) heldContexts {
	held := heldContexts{programs: make(map[string]*program)}
	still := r.pausing[:0]
	for _, paused := range r.pausing {
		if paused.ended || paused.running != nil {
			continue
		}
		still = append(still, paused)
		silence := s.schedule.now - paused.lastActive
		for index := range s.engines {
			h := paused.holders[index]
			if h == nil {
				continue
			}
			held.programs[paused.id] = paused
			held.contexts = append(held.contexts, routing.Retained{
				Program:   paused.id,
				Engine:    s.engines[index].spec.Name,
				Tokens:    uint64(h.tokens),
				Chance:    r.returns.Chance(returnClass(paused), silence),
				Remaining: r.returns.Remaining(returnClass(paused), silence),
			})
		}
	}
	r.pausing = still
	return held
}

// moveHeld exports context to another engine while its program pauses.
func (s *simulation) moveHeld(n *simNode, p *program, from, to int) {
	source, target := s.engines[from], s.engines[to]
	if !source.alive || !target.alive || s.cutOff(source.spec.Zone, target.spec.Zone) {
		return
	}
	exported, took, err := source.core.Export(s.schedule.now, p.id)
	source.touch()
	if err != nil {
		return
	}
	life := target.life
	s.schedule.after(took+s.deployment.delay(source.spec.Zone, target.spec.Zone), func() {
		if p.ended || p.running != nil || !target.alive || target.life != life {
			return
		}
		s.importHeld(n, p, from, target, exported)
	})
}

func (s *simulation) importHeld(n *simNode, p *program, from int, target *simEngine, exported engine.Export) {
	s.lastAttempt++
	err := target.core.Import(s.schedule.now, s.lastAttempt, p.id, exported)
	target.touch()
	if err != nil {
		return
	}
	s.moves[s.lastAttempt] = func(tokens int) {
		if h := p.holders[from]; h != nil {
			h.used = true
		}
		s.release(p, from)
		p.holders[target.index] = &hold{engine: target, life: target.life, tokens: tokens, since: s.schedule.now}
		target.cached.imported(p.id, p.path, tokens)
		n.locality.Lost(p.id, s.engines[from].spec.Name)
		n.locality.Answered(p.id, target.spec.Name, uint64(tokens), s.wall(s.schedule.now))
		s.report.parked++
		if p.ended {
			s.release(p, target.index)
		}
	}
}
