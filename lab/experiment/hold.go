package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/marblering/marblering/lab/engine"
)

// hold is context that an engine keeps for a program.
type hold struct {
	engine *simEngine
	life   int
	tokens int
	since  time.Duration
	// used is set once a call or a transfer found the context.
	used bool
}

// held notes that an engine keeps the context of an answered call.
func (s *simulation) held(a *attempt) {
	p := a.call.program
	if p.ended {
		a.engine.core.Release(s.schedule.now, p.id)
		a.engine.touch()
		return
	}
	tokens := pathTokens(a.call.path)
	if a.prepare == nil {
		tokens += a.call.step.outputTokens
	}
	p.holders[a.engine.index] = &hold{engine: a.engine, life: a.engine.life, tokens: tokens, since: s.schedule.now}
}

// reused notes that a call found held context.
func (s *simulation) reused(a *attempt, usage engine.Usage) {
	p := a.call.program
	if h := p.holders[a.engine.index]; h != nil && usage.CachedTokens > a.call.path[0].Tokens {
		h.used = true
	}
}

// release ends a hold.
func (s *simulation) release(p *program, index int) {
	h := p.holders[index]
	if h == nil {
		return
	}
	delete(p.holders, index)
	if !h.engine.alive || h.engine.life != h.life {
		return
	}
	if !h.used {
		s.report.unusedHold(h, s.schedule.now)
	}
	h.engine.core.Release(s.schedule.now, p.id)
	h.engine.touch()
}

// releaseAll ends the holds of a program, except at the engines given.
func (s *simulation) releaseAll(p *program, except ...int) {
	for _, index := range slices.Sorted(maps.Keys(p.holders)) {
		if !slices.Contains(except, index) {
			s.release(p, index)
		}
	}
}
