package experiment

import (
	"github.com/marblering/marblering/lab/engine"
)

// transfer brings context to the attempt's engine before the call. Where that
// fails the call is sent without.
func (s *simulation) transfer(a *attempt) {
	if a.choice.prefill {
		s.prefillRemotely(a)
		return
	}
	s.export(a)
}

// prefillRemotely has the source compute the prompt, by a call that asks for
// one token and a hold.
func (s *simulation) prefillRemotely(a *attempt) {
	source := s.engines[a.choice.source]
	if !source.alive || s.cutOff(a.node.zone, source.spec.Zone) {
		s.deliver(a)
		return
	}
	s.lastAttempt++
	stage := &attempt{
		id:      s.lastAttempt,
		call:    a.call,
		node:    a.node,
		engine:  source,
		life:    source.life,
		choice:  choice{engine: source.index, source: noEngine, priority: a.choice.priority, hold: true, work: a.choice.prefillWork},
		sent:    s.schedule.now,
		prepare: a,
	}
	a.stage = stage
	a.node.ledger.Reserve(source.spec.Name, stage.name(), stage.choice.work, s.wall(s.schedule.now))
	s.deliver(stage)
}

// prepared goes on with the attempt for which a prompt was computed.
func (s *simulation) prepared(stage *attempt, failed bool) {
	a := stage.prepare
	a.stage = nil
	if a.over {
		return
	}
	if failed {
		s.deliver(a)
		return
	}
	s.export(a)
}

func (s *simulation) export(a *attempt) {
	source := s.engines[a.choice.source]
	if !source.alive || s.cutOff(source.spec.Zone, a.engine.spec.Zone) {
		s.deliver(a)
		return
	}
	exported, took, err := source.core.Export(s.schedule.now, a.call.program.id)
	source.touch()
	if err != nil {
		s.report.failedTransfers++
		s.deliver(a)
		return
	}
	if h := a.call.program.holders[source.index]; h != nil {
		h.used = true
	}
	s.schedule.after(took+s.deployment.delay(source.spec.Zone, a.engine.spec.Zone), func() { s.startImport(a, exported) })
}

func (s *simulation) startImport(a *attempt, exported engine.Export) {
	if a.over {
		return
	}
	if !a.engine.alive || a.engine.life != a.life {
		s.deliver(a)
		return
	}
	s.lastAttempt++
	err := a.engine.core.Import(s.schedule.now, s.lastAttempt, a.call.program.id, exported)
	if err == nil {
		s.transfers[s.lastAttempt] = a
	}
	a.engine.touch()
	if err != nil {
		s.report.failedTransfers++
		s.deliver(a)
	}
}

// imported sends the call for which context was moved.
func (s *simulation) imported(e *simEngine, event engine.Event) {
	a := s.transfers[event.ID]
	if a == nil {
		return
	}
	delete(s.transfers, event.ID)
	p := a.call.program
	tokens := event.Usage.PromptTokens
	s.report.transfers++
	s.report.transferredTokens += tokens
	if p.ended {
		e.core.Release(s.schedule.now, p.id)
		e.touch()
		return
	}
	s.release(p, a.choice.source)
	p.holders[e.index] = &hold{engine: e, life: e.life, tokens: tokens, since: s.schedule.now}
	e.cached.imported(p.id, a.call.path, tokens)
	s.deliver(a)
}
