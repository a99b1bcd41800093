package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/lab/engine"
)

// tree is a root program with its sub-agents.
type tree struct {
	id      string
	number  uint64
	script  *script
	started time.Duration
	// attained are the tokens served to the tree.
	attained int
	calls    int
	// busy are the times in which a call of the tree was in the system, queued
	// those in which one waited.
	busy   intervals
	queued intervals
	failed bool
	ended  bool
}

// program is one chain of calls.
type program struct {
	id     string
	tree   *tree
	script *script
	path   []engine.Segment
	// step is the index of the script's next step.
	step int
	// turns are the calls that were answered.
	turns   int
	running *call
	ended   bool
	// holders are the engines that were asked to hold the context.
	holders map[int]*hold
	onEnd   func()
}

// newTree starts a root program.
func (s *simulation) newTree(number uint64, script *script) {
	id := "program-" + strconv.FormatUint(number, 10)
	root := &tree{id: id, number: number, script: script, started: s.schedule.now}
	s.trees = append(s.trees, root)
	s.newProgram(root, id, script, func() { s.endTree(root, false) })
}

func (s *simulation) newProgram(root *tree, id string, script *script, onEnd func()) {
	p := &program{
		id:      id,
		tree:    root,
		script:  script,
		path:    append([]engine.Segment(nil), script.opening...),
		holders: make(map[int]*hold),
		onEnd:   onEnd,
	}
	s.programs = append(s.programs, p)
	s.issue(p)
}

// nextStep is the step of the program's next call.
func (p *program) nextStep() *step {
	return &p.script.steps[min(p.step, len(p.script.steps)-1)]
}

// segmentID names the content of a message or an answer of the program.
func (p *program) segmentID(part string) uint64 {
	return xxhash.Sum64String(p.id + "/" + part + "/" + strconv.Itoa(p.step))
}

// answered goes on after an answer: sub-agents first, then the pause.
func (s *simulation) answered(p *program) {
	if p.ended {
		return
	}
	current := p.nextStep()
	p.step++
	p.turns++
	if p.turns >= turnLimit {
		s.endProgram(p)
		return
	}
	if p.step == len(p.script.steps) && !p.script.endless {
		s.lastAnswered(p)
		return
	}
	s.runChildren(p, current)
}

// lastAnswered ends a program, or leaves it silent until the idle limit.
func (s *simulation) lastAnswered(p *program) {
	if !p.script.abandoned {
		s.endProgram(p)
		return
	}
	s.schedule.after(s.workload.idle, func() { s.endProgram(p) })
}

func (s *simulation) runChildren(p *program, done *step) {
	resume := func() {
		s.schedule.after(done.pause, func() {
			if !p.ended {
				s.issue(p)
			}
		})
	}
	left := len(done.children)
	if left == 0 {
		resume()
		return
	}
	for i, child := range done.children {
		id := fmt.Sprintf("%s.%d.%d", p.id, p.step, i)
		s.newProgram(p.tree, id, child, func() {
			left--
			if left == 0 && !p.ended {
				resume()
			}
		})
	}
}

// endProgram releases what is held for a program.
func (s *simulation) endProgram(p *program) {
	if p.ended {
		return
	}
	p.ended = true
	s.releaseAll(p)
	s.policy.ended(s, p)
	if !p.tree.failed {
		p.onEnd()
	}
}

func (s *simulation) endTree(root *tree, failed bool) {
	if root.ended {
		return
	}
	root.ended = true
	root.failed = failed
	s.report.finish(s, root)
}

// giveUp ends a tree whose caller no longer waits for its answer.
func (s *simulation) giveUp(root *tree) {
	s.endTree(root, true)
	for _, p := range s.programs {
		if p.tree == root && !p.ended {
			s.abandonCall(p)
			s.endProgram(p)
		}
	}
}

// interval is a span of time.
type interval struct{ from, to time.Duration }

// intervals is a set of spans that may overlap.
type intervals []interval

// union is the time covered by at least one of the spans.
func (i intervals) union() time.Duration {
	sorted := slices.Clone(i)
	slices.SortFunc(sorted, func(a, b interval) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	var total, reached time.Duration
	for _, span := range sorted {
		from := max(span.from, reached)
		if span.to > from {
			total += span.to - from
			reached = span.to
		}
	}
	return total
}
