package experiment

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/marblering/marblering/lab/engine"
)

// call is one call of a program, with all its attempts.
type call struct {
	program *program
	step    *step
	path    []engine.Segment
	prompt  int
	issued  time.Duration
	// tried are the engines that refused or failed the call since its last
	// pause.
	tried   []string
	current *attempt
	retries int
	done    bool
}

// attempt is a call at an engine.
type attempt struct {
	id     uint64
	call   *call
	node   *simNode
	engine *simEngine
	life   int
	choice choice
	sent   time.Duration
	// bestElsewhere is the most that any other engine had cached.
	bestElsewhere int
	firstToken    time.Duration
	// stage computes the prompt elsewhere; prepare is set in such a stage and
	// names the attempt it serves.
	stage   *attempt
	prepare *attempt
	// beside is the number of requests at the engine, as the node believed when
	// the first token came.
	beside int
	over   bool
}

// name is the attempt's request id in a ledger.
func (a *attempt) name() string { return strconv.FormatUint(a.id, 10) }

// Pauses of the simulated nodes.
const (
	// detectTime is how long a node waits before it counts a silent peer as
	// failed.
	detectTime = 2 * time.Second
	// retryPause is the pause before another try where nothing says better.
	retryPause = 200 * time.Millisecond
)

// issue starts a program's next call.
func (s *simulation) issue(p *program) {
	if p.ended {
		return
	}
	current := p.nextStep()
	added := engine.Segment{ID: p.segmentID("message"), Tokens: current.newTokens}
	path := append(p.path[:len(p.path):len(p.path)], added)
	made := &call{program: p, step: current, path: path, prompt: pathTokens(path), issued: s.schedule.now}
	p.running = made
	p.tree.calls++
	s.decide(made)
}

// decide asks the policy for an engine and sends the call there.
func (s *simulation) decide(c *call) {
	if c.done || s.pastDeadline(c) {
		return
	}
	node := s.home(c.program.tree)
	chosen := s.policy.choose(s, node, c)
	s.report.decisions++
	if chosen.engine < 0 {
		s.comeBack(c, max(chosen.retryAfter, time.Millisecond))
		return
	}
	s.send(c, node, chosen)
}

// comeBack lets the caller of a refused call ask again after the pause it was
// given, or give up at once where that would be too late.
func (s *simulation) comeBack(c *call, pause time.Duration) {
	c.tried = nil
	s.report.refusals++
	if s.spent(c)+pause >= s.workload.deadline {
		if !c.program.tree.ended {
			s.giveUp(c.program.tree)
		}
		return
	}
	s.schedule.after(pause, func() { s.decide(c) })
}

// spent is the time that calls of the tree have taken so far.
func (s *simulation) spent(c *call) time.Duration {
	busy := c.program.tree.busy
	return append(busy[:len(busy):len(busy)], interval{c.issued, s.schedule.now}).union()
}

// pastDeadline gives up a tree whose calls have taken too long, and reports
// whether they have.
func (s *simulation) pastDeadline(c *call) bool {
	root := c.program.tree
	if s.spent(c) < s.workload.deadline {
		return false
	}
	if !root.ended {
		s.giveUp(root)
	}
	return true
}

func (s *simulation) send(c *call, node *simNode, chosen choice) {
	s.lastAttempt++
	target := s.engines[chosen.engine]
	made := &attempt{
		id:     s.lastAttempt,
		call:   c,
		node:   node,
		engine: target,
		life:   target.life,
		choice: chosen,
		sent:   s.schedule.now,
	}
	c.current = made
	node.ledger.Reserve(target.spec.Name, made.name(), chosen.work, s.wall(s.schedule.now))
	if chosen.source >= 0 {
		s.transfer(made)
		return
	}
	s.deliver(made)
}

// deliver carries an attempt to its engine, unless the way is cut.
func (s *simulation) deliver(a *attempt) {
	if s.cutOff(a.node.zone, a.engine.spec.Zone) || !a.engine.alive {
		s.schedule.after(detectTime, func() { s.fail(a) })
		return
	}
	s.schedule.after(s.deployment.delay(a.node.zone, a.engine.spec.Zone), func() { s.submit(a) })
}

func (s *simulation) submit(a *attempt) {
	e := a.engine
	if a.over {
		return
	}
	if !e.alive || e.life != a.life {
		s.fail(a)
		return
	}
	a.bestElsewhere = s.bestCached(a.call, e)
	p := a.call.program
	request := engine.Request{
		ID:           a.id,
		Program:      p.id,
		Model:        modelName,
		Path:         a.call.path,
		OutputID:     p.segmentID("answer"),
		OutputTokens: a.call.step.outputTokens,
		Priority:     a.choice.priority,
		Hold:         a.choice.hold,
	}
	if a.prepare != nil {
		request.OutputTokens = 1
	}
	refusal := e.core.Submit(s.schedule.now, request)
	if refusal == nil {
		e.attempts[a.id] = a
	}
	e.touch()
	if refusal != nil {
		s.schedule.after(s.deployment.delay(a.node.zone, e.spec.Zone), func() { s.refused(a) })
	}
}

// refused tries another engine at once.
func (s *simulation) refused(a *attempt) {
	if a.over {
		return
	}
	s.report.engineRefusals++
	s.close(a)
	if a.prepare != nil {
		s.prepared(a, true)
		return
	}
	a.call.tried = append(a.call.tried, a.engine.spec.Name)
	s.decide(a.call)
}

// fail retries a call whose engine or node was lost.
func (s *simulation) fail(a *attempt) {
	if a.over {
		return
	}
	s.report.failures++
	a.node.reachable[a.engine.index] = false
	a.node.locality.Lost(a.call.program.id, a.engine.spec.Name)
	s.policy.failed(s, a)
	s.close(a)
	if a.prepare != nil {
		s.prepared(a, true)
		return
	}
	a.call.retries++
	s.schedule.after(retryPause, func() { s.decide(a.call) })
}

// close takes an attempt out of the node's books.
func (s *simulation) close(a *attempt) {
	a.over = true
	a.node.ledger.Release(a.engine.spec.Name, a.name(), s.wall(s.schedule.now))
}

// abandonCall cancels what a program has under way.
func (s *simulation) abandonCall(p *program) {
	c := p.running
	if c == nil {
		return
	}
	c.done = true
	p.running = nil
	if a := c.current; a != nil && !a.over {
		s.close(a)
		s.cancel(a)
		if a.stage != nil && !a.stage.over {
			s.close(a.stage)
			s.cancel(a.stage)
		}
	}
}

func (s *simulation) cancel(a *attempt) {
	e := a.engine
	if !e.alive || e.life != a.life || s.cutOff(a.node.zone, e.spec.Zone) {
		return
	}
	delete(e.attempts, a.id)
	e.core.Cancel(s.schedule.now, a.id)
	e.touch()
}

// bestCached is the most of a call's prompt that an engine other than the
// given one has.
func (s *simulation) bestCached(c *call, except *simEngine) int {
	best := 0
	for _, e := range s.engines {
		if e != except && e.alive {
			best = max(best, e.cached.has(c.program.id, c.path))
		}
	}
	return best
}

func sortedAttempts(attempts map[uint64]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}
