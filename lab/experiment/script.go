package experiment

import (
	"time"

	"github.com/marblering/marblering/lab/engine"
)

// script is what a program is going to do. No policy sees it.
type script struct {
	kind   string
	tenant string
	// opening are the tokens of the first call's prompt: a system prompt shared
	// by all programs of the kind, then what is this program's own.
	opening []engine.Segment
	steps   []step
	// abandoned programs don't say when they end: a tool hangs or the user has
	// left. The idle limit ends them.
	abandoned bool
	// endless programs repeat their last step until a limit ends them.
	endless bool
}

// step is one call and what follows it.
type step struct {
	newTokens    int
	outputTokens int
	// children run after the answer; the next call waits for all of them.
	children []*script
	// pause after the answer and the children: a tool runs or a user thinks.
	pause time.Duration
}

// counted reports whether the program's latency is measured: one that hangs or
// loops has none.
func (s *script) counted() bool { return !s.abandoned && !s.endless }

// demand is the computing a program needs if nothing is computed twice.
type demand struct {
	promptTokens int
	outputTokens int
}

// endlessSteps is the number of calls an endless program is expected to make
// before a limit ends it.
const endlessSteps = 20

func (s *script) demand() demand {
	var total demand
	for _, segment := range s.opening[min(1, len(s.opening)):] {
		total.promptTokens += segment.Tokens
	}
	for _, step := range s.steps {
		total.add(step.demand())
	}
	if s.endless {
		last := s.steps[len(s.steps)-1].demand()
		for range endlessSteps - len(s.steps) {
			total.add(last)
		}
	}
	return total
}

func (s *step) demand() demand {
	total := demand{promptTokens: s.newTokens, outputTokens: s.outputTokens}
	for _, child := range s.children {
		total.add(child.demand())
	}
	return total
}

func (d *demand) add(other demand) {
	d.promptTokens += other.promptTokens
	d.outputTokens += other.outputTokens
}
