package experiment

import (
	"time"

	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/lab/engine"
)

// reply carries an engine's event to the node.
func (s *simulation) reply(e *simEngine, a *attempt, event engine.Event) {
	if event.Kind == engine.FirstToken {
		s.report.prefilled(a, event.Usage)
		s.reused(a, event.Usage)
		e.cached.prefilled(a.call.program.id, a.call.path)
	}
	if event.Kind == engine.Finished && event.Outcome == engine.Completed && a.choice.hold {
		s.held(a)
	}
	if s.cutOff(a.node.zone, e.spec.Zone) {
		return
	}
	s.schedule.after(s.deployment.delay(a.node.zone, e.spec.Zone), func() {
		if a.over {
			return
		}
		switch {
		case a.prepare != nil && event.Kind == engine.Finished:
			s.close(a)
			s.prepared(a, false)
		case a.prepare != nil:
			a.node.ledger.Prefilled(a.engine.spec.Name, a.name(), s.wall(s.schedule.now))
		case event.Kind == engine.FirstToken:
			s.firstToken(a, event.Usage)
		default:
			s.finish(a, event.Usage)
		}
	})
}

func (s *simulation) firstToken(a *attempt, usage engine.Usage) {
	a.firstToken = s.schedule.now
	a.beside = a.node.outstanding(a.engine.index)
	a.node.ledger.Prefilled(a.engine.spec.Name, a.name(), s.wall(s.schedule.now))
	ideal := a.engine.prefillSeconds(usage.PromptTokens - usage.CachedTokens)
	waitedUntil := s.schedule.now - time.Duration(ideal*float64(time.Second))
	if waitedUntil > a.call.issued {
		root := a.call.program.tree
		root.queued = append(root.queued, interval{a.call.issued, waitedUntil})
	}
}

func (s *simulation) finish(a *attempt, usage engine.Usage) {
	s.close(a)
	c := a.call
	p := c.program
	if c.done {
		return
	}
	c.done = true
	p.running = nil
	root := p.tree
	root.busy = append(root.busy, interval{c.issued, s.schedule.now})
	root.attained += usage.PromptTokens - usage.CachedTokens + usage.OutputTokens
	p.path = append(c.path[:len(c.path):len(c.path)], engine.Segment{ID: p.segmentID("answer"), Tokens: usage.OutputTokens})
	s.learn(a, usage)
	s.policy.finished(s, a, usage)
	s.answered(p)
}

// learn passes what an answer tells to the node's tables.
func (s *simulation) learn(a *attempt, usage engine.Usage) {
	now := s.wall(s.schedule.now)
	context := uint64(usage.PromptTokens + usage.OutputTokens)
	a.node.locality.Answered(a.call.program.id, a.engine.spec.Name, context, now)
	a.node.locality.Answered(prefixKey(a.call.path), a.engine.spec.Name, uint64(a.call.path[0].Tokens), now)
	a.node.speeds.Observe(a.engine.spec.Name, routing.Observation{
		OutputTokens: uint64(usage.OutputTokens),
		DecodeTime:   s.schedule.now - a.firstToken,
		Running:      a.beside,
	})
}
