package register_test

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
	"pgregory.net/rapid"
)

const (
	nodeCount     = 7
	proposerCount = 3
	// poolLimit bounds the messages under way; the oldest are lost first.
	poolLimit = 60
)

// epochState is what a node holds of one epoch.
type epochState struct {
	register replica.Register
	sealed   bool
}

// simulatedNode is one replica. Its incarnation grows when it loses its memory.
type simulatedNode struct {
	incarnation int
	epochs      map[int]*epochState
}

// message is a request under way to a member, or the answer on its way back.
type message struct {
	proposer    *register.Proposer
	slot        *slot
	request     register.Request
	epoch       int
	member      int
	incarnation int
	answered    bool
	prepare     register.PrepareReply
	accept      register.AcceptReply
}

// epoch is a replica set: node numbers and their incarnations.
type epoch struct {
	nodes        []int
	incarnations []int
}

// slot is one proposing process and its operation under way.
type slot struct {
	incarnation string
	counter     uint64
	promise     register.Promise
	promised    int
	epoch       int
	proposer    *register.Proposer
	operation   *operation
	call        int64
}

// world is the whole simulation.
type world struct {
	random *rand.Rand
	events []event
	nodes  [nodeCount]*simulatedNode
	epochs []epoch
	newest int
	// fresh lets proposers that know nothing of the register skip the prepare.
	fresh bool
	// size is the number of members of each epoch.
	size int
	// down is the node that is paused or cut off; nodeCount stands for none.
	down    int
	slots   [proposerCount]*slot
	pool    []message
	history []porcupine.Operation
	now     int64
	created int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		events: drawEvents(t),
		down:   nodeCount,
		fresh:  rapid.Bool().Draw(t, "fresh"),
		size:   rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "members"),
	}
	for number := range w.nodes {
		w.nodes[number] = &simulatedNode{epochs: make(map[int]*epochState)}
	}
	for number := range w.slots {
		// The first two stand for a paused process and its successor, which
		// took over the data folder and with it the incarnation.
		w.slots[number] = &slot{incarnation: string(rune('a' + number/2))}
	}
	w.epochs = []epoch{{nodes: w.random.Perm(nodeCount)[:w.size], incarnations: make([]int, w.size)}}
	for _, number := range w.epochs[0].nodes {
		w.nodes[number].epochs[0] = &epochState{}
	}
	return w
}

func (w *world) majority() int { return w.size/2 + 1 }

func (w *world) pick(count int) int { return w.random.IntN(count) }

// event is a kind of step, with how often it happens in proportion to others.
type event struct {
	name   string
	weight int
	run    func(w *world, s *slot)
}

// drawEvents draws the weights anew for each world, so that some worlds lack a
// kind of event and others have plenty (A. Groce et al., "Swarm Testing", 2012).
func drawEvents(t *rapid.T) []event {
	events := []event{
		{name: "lose", weight: 8, run: func(w *world, _ *slot) { w.takeMessage() }},
		{name: "duplicate", weight: 8, run: func(w *world, _ *slot) { w.duplicate() }},
		{name: "retry", weight: 6, run: (*world).retry},
		{name: "give up", weight: 3, run: (*world).giveUp},
		{name: "restart", weight: 3, run: (*world).restart},
		{name: "pause", weight: 2, run: func(w *world, _ *slot) { w.down = w.pick(nodeCount + 1) }},
		{name: "forget", weight: 3, run: func(w *world, _ *slot) { w.forget(w.nodes[w.pick(nodeCount)]) }},
		{name: "fresh", weight: 3, run: func(w *world, _ *slot) { w.fresh = !w.fresh }},
		{name: "reconfigure", weight: 10, run: func(w *world, _ *slot) { w.reconfigure() }},
	}
	for index := range events {
		events[index].weight = rapid.IntRange(0, events[index].weight).Draw(t, events[index].name)
	}
	return append(events,
		event{name: "start", weight: 20, run: (*world).start},
		event{name: "deliver", weight: 80, run: func(w *world, _ *slot) { w.deliver() }})
}

// step runs one event.
func (w *world) step() {
	w.now++
	total := 0
	for _, candidate := range w.events {
		total += candidate.weight
	}
	chosen := w.pick(total)
	for _, candidate := range w.events {
		if chosen < candidate.weight {
			candidate.run(w, w.slots[w.pick(proposerCount)])
			return
		}
		chosen -= candidate.weight
	}
}

// restart starts a proposing process again in the same incarnation, without
// the ballots that it had used.
func (w *world) restart(s *slot) {
	w.giveUp(s)
	s.counter, s.promise = 0, register.Promise{}
}

// forget restarts a node without its memory, as a new incarnation. It spares the
// last majority of an epoch, without which nothing more could happen.
func (w *world) forget(node *simulatedNode) {
	for number := w.newest; number < len(w.epochs); number++ {
		if node.epochs[number] != nil && w.holders(number) <= w.majority() {
			return
		}
	}
	node.incarnation++
	node.epochs = make(map[int]*epochState)
}

func (w *world) start(s *slot) {
	if s.operation != nil {
		return
	}
	s.operation = w.newOperation()
	s.call = w.now
	s.epoch = w.newest
	s.proposer = register.NewProposer(s.incarnation, s.counter, s.operation.change)
	promise := s.promise
	s.promise = register.Promise{}
	if s.promised != s.epoch {
		promise = register.Promise{}
	}
	if w.fresh && promise.Ballot.IsZero() {
		w.send(s, s.proposer.BeginFast(w.size))
		return
	}
	w.send(s, s.proposer.BeginWithPromise(w.size, promise))
}

func (w *world) retry(s *slot) {
	if s.operation == nil {
		return
	}
	s.epoch = w.newest
	w.send(s, s.proposer.Begin(w.size))
}

func (w *world) send(s *slot, request register.Request) {
	for member := range w.size {
		w.pool = append(w.pool, message{
			proposer: s.proposer, slot: s, request: request, epoch: s.epoch, member: member,
			incarnation: w.epochs[s.epoch].incarnations[member],
		})
	}
	w.pool = w.pool[max(0, len(w.pool)-poolLimit):]
}

// takeMessage removes any message under way; order is not kept.
func (w *world) takeMessage() (taken message, found bool) {
	if len(w.pool) == 0 {
		return message{}, false
	}
	index := w.pick(len(w.pool))
	taken = w.pool[index]
	w.pool = slices.Delete(w.pool, index, index+1)
	return taken, true
}

func (w *world) duplicate() {
	if len(w.pool) > 0 {
		w.pool = append(w.pool, w.pool[w.pick(len(w.pool))])
	}
}

func (w *world) deliver() {
	switch m, found := w.takeMessage(); {
	case !found:
	case m.answered:
		w.receive(m)
	default:
		w.serve(m)
	}
}

// serve lets a replica answer a request, if it is up and the fence holds.
func (w *world) serve(m message) {
	number := w.epochs[m.epoch].nodes[m.member]
	node := w.nodes[number]
	state := node.epochs[m.epoch]
	if number == w.down || node.incarnation != m.incarnation || state == nil || state.sealed {
		return
	}
	m.answered = true
	acceptor := register.Acceptor{}
	if m.request.Phase == register.PhasePrepare {
		state.register, m.prepare = acceptor.Prepare(state.register, m.request.Ballot)
	} else {
		state.register, m.accept = acceptor.Accept(state.register, m.request.Ballot, m.request.Value, m.request.Next)
	}
	w.pool = append(w.pool, m)
}

// receive feeds an answer to its proposer, if that is still at work.
func (w *world) receive(m message) {
	s := m.slot
	if s.operation == nil || s.proposer != m.proposer || s.epoch != m.epoch {
		return
	}
	var request register.Request
	var status register.Status
	if m.request.Phase == register.PhasePrepare {
		request, status = s.proposer.OnPrepare(m.request.Ballot, m.member, m.prepare)
	} else {
		status = s.proposer.OnAccept(m.request.Ballot, m.member, m.accept)
	}
	switch status {
	case register.StatusSend:
		w.send(s, request)
	case register.StatusRetry:
		w.retry(s)
	case register.StatusDone:
		result := s.proposer.Result()
		s.promise, s.promised = result.Promise, s.epoch
		w.record(s, result)
	}
}

func (w *world) giveUp(s *slot) {
	if s.operation != nil {
		w.record(s, s.proposer.Result())
	}
}

// reconfigure takes the next step of moving the register to the next epoch:
// choose its members, seal the old ones, copy from a sealed majority, open. The
// steps interleave with everything else.
func (w *world) reconfigure() {
	last := len(w.epochs) - 1
	if last == w.newest {
		w.chooseMembers()
		return
	}
	sealed := w.sealedStates(w.newest)
	if len(sealed) < w.majority() || w.pick(3) == 0 {
		w.seal(w.pick(w.size))
	} else {
		// Each new member may have copied from another majority.
		w.random.Shuffle(len(sealed), func(i, j int) { sealed[i], sealed[j] = sealed[j], sealed[i] })
		w.install(w.pick(w.size), sealed[:w.majority()])
	}
	if w.holders(last) >= w.majority() {
		w.newest = last
	}
}

func (w *world) chooseMembers() {
	numbers := w.random.Perm(nodeCount)[:w.size]
	chosen := epoch{nodes: numbers}
	for _, number := range numbers {
		chosen.incarnations = append(chosen.incarnations, w.nodes[number].incarnation)
	}
	w.epochs = append(w.epochs, chosen)
}

// state returns what a member holds of an epoch, or nil where it forgot.
func (w *world) state(number, member int) *epochState {
	node := w.nodes[w.epochs[number].nodes[member]]
	if node.incarnation != w.epochs[number].incarnations[member] {
		return nil
	}
	return node.epochs[number]
}

func (w *world) seal(member int) {
	if state := w.state(w.newest, member); state != nil {
		state.sealed = true
	}
}

func (w *world) sealedStates(number int) []replica.Register {
	var sealed []replica.Register
	for member := range w.size {
		if state := w.state(number, member); state != nil && state.sealed {
			sealed = append(sealed, state.register)
		}
	}
	return sealed
}

func (w *world) install(member int, sealed []replica.Register) {
	last := len(w.epochs) - 1
	node := w.nodes[w.epochs[last].nodes[member]]
	if node.incarnation == w.epochs[last].incarnations[member] && node.epochs[last] == nil {
		node.epochs[last] = &epochState{register: register.Merge(sealed...)}
	}
}

// holders counts the members that hold the epoch.
func (w *world) holders(number int) int {
	count := 0
	for member := range w.size {
		if w.state(number, member) != nil {
			count++
		}
	}
	return count
}

// record adds the operation's result to the history. A change that was certainly
// not applied is left out, so that any trace of it is a violation.
func (w *world) record(s *slot, result register.Result) {
	op := s.operation
	s.operation = nil
	s.counter = s.proposer.Counter()
	w.now++
	entry := porcupine.Operation{Input: *op, Call: s.call, Return: w.now}
	switch result.Outcome {
	case register.OutcomeNotApplied:
		return
	case register.OutcomeUnknown:
		entry.Return = math.MaxInt64
	case register.OutcomeApplied:
		// What the change returned was the register's value in this interval.
		observation := entry
		observation.Input = operation{kind: kindRead}
		observation.Output = observed{outcome: result.Outcome, value: string(result.Value)}
		w.history = append(w.history, observation)
	}
	entry.Output = observed{outcome: result.Outcome, value: string(result.Value)}
	w.history = append(w.history, entry)
}
