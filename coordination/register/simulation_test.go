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
	// messageLimit bounds the messages under way; the oldest are dropped first.
	messageLimit = 60
)

// epochState is the state of a node in one epoch.
type epochState struct {
	register replica.Register
	sealed   bool
}

// simulatedNode is one replica. Its incarnation increases when it loses its state.
type simulatedNode struct {
	incarnation int
	epochs      map[int]*epochState
}

// message is a request under way to a member, or the answer to it.
type message struct {
	proposer    *register.Proposer
	process     *process
	request     register.Request
	epoch       int
	member      int
	incarnation int
	answered    bool
	prepare     register.PrepareReply
	accept      register.AcceptReply
}

// epoch is a replica set: the numbers of its nodes and their incarnations.
type epoch struct {
	nodes        []int
	incarnations []int
}

// process is a proposing process and its current operation.
type process struct {
	incarnation  string
	counter      uint64
	promise      register.Promise
	promiseEpoch int
	epoch        int
	proposer     *register.Proposer
	operation    *operation
	calledAt     int64
}

// simulation is the state of all nodes, proposing processes and messages.
type simulation struct {
	random *rand.Rand
	events []event
	nodes  [nodeCount]*simulatedNode
	epochs []epoch
	newest int
	// fastRounds lets proposers that know nothing of the register skip the prepare.
	fastRounds bool
	// memberCount is the number of members of each epoch.
	memberCount int
	// stoppedNode is the node that is paused or cut off; nodeCount means none.
	stoppedNode int
	processes   [proposerCount]*process
	messages    []message
	history     []porcupine.Operation
	now         int64
	created     int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		events:      drawEvents(t),
		stoppedNode: nodeCount,
		fastRounds:  rapid.Bool().Draw(t, "fast rounds"),
		memberCount: rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "members"),
	}
	for number := range sim.nodes {
		sim.nodes[number] = &simulatedNode{epochs: make(map[int]*epochState)}
	}
	for number := range sim.processes {
		// The first two are a paused process and its successor, which has taken over the data
		// directory and therefore the incarnation.
		sim.processes[number] = &process{incarnation: string(rune('a' + number/2))}
	}
	sim.epochs = []epoch{{nodes: sim.random.Perm(nodeCount)[:sim.memberCount], incarnations: make([]int, sim.memberCount)}}
	for _, number := range sim.epochs[0].nodes {
		sim.nodes[number].epochs[0] = &epochState{}
	}
	return sim
}

func (sim *simulation) majority() int { return sim.memberCount/2 + 1 }

func (sim *simulation) pick(count int) int { return sim.random.IntN(count) }

// event is a kind of step with its relative frequency.
type event struct {
	name   string
	weight int
	run    func(sim *simulation, p *process)
}

// drawEvents draws new weights for each simulation, so that some lack a kind of event and
// others have many of it (A. Groce et al., "Swarm Testing", 2012).
func drawEvents(t *rapid.T) []event {
	events := []event{
		{name: "lose", weight: 8, run: func(sim *simulation, _ *process) { sim.takeMessage() }},
		{name: "duplicate", weight: 8, run: func(sim *simulation, _ *process) { sim.duplicate() }},
		{name: "retry", weight: 6, run: (*simulation).retry},
		{name: "abandon", weight: 3, run: (*simulation).abandon},
		{name: "restart", weight: 3, run: (*simulation).restart},
		{name: "pause", weight: 2, run: func(sim *simulation, _ *process) { sim.stoppedNode = sim.pick(nodeCount + 1) }},
		{name: "lose state", weight: 3, run: func(sim *simulation, _ *process) { sim.loseState(sim.nodes[sim.pick(nodeCount)]) }},
		{name: "fast rounds", weight: 3, run: func(sim *simulation, _ *process) { sim.fastRounds = !sim.fastRounds }},
		{name: "reconfigure", weight: 10, run: func(sim *simulation, _ *process) { sim.reconfigure() }},
	}
	for index := range events {
		events[index].weight = rapid.IntRange(0, events[index].weight).Draw(t, events[index].name)
	}
	return append(events,
		event{name: "start", weight: 20, run: (*simulation).start},
		event{name: "deliver", weight: 80, run: func(sim *simulation, _ *process) { sim.deliver() }})
}

// step runs one random event.
func (sim *simulation) step() {
	sim.now++
	total := 0
	for _, candidate := range sim.events {
		total += candidate.weight
	}
	chosen := sim.pick(total)
	for _, candidate := range sim.events {
		if chosen < candidate.weight {
			candidate.run(sim, sim.processes[sim.pick(proposerCount)])
			return
		}
		chosen -= candidate.weight
	}
}

// restart restarts a proposing process in the same incarnation, without the counter and
// the promise that it had.
func (sim *simulation) restart(p *process) {
	sim.abandon(p)
	p.counter, p.promise = 0, register.Promise{}
}

// loseState restarts a node without its state, as a new incarnation. It leaves an epoch
// its last majority, since nothing could be chosen without it.
func (sim *simulation) loseState(node *simulatedNode) {
	for number := sim.newest; number < len(sim.epochs); number++ {
		if node.epochs[number] != nil && sim.countHolders(number) <= sim.majority() {
			return
		}
	}
	node.incarnation++
	node.epochs = make(map[int]*epochState)
}

func (sim *simulation) start(p *process) {
	if p.operation != nil {
		return
	}
	p.operation = sim.newOperation()
	p.calledAt = sim.now
	p.epoch = sim.newest
	p.proposer = register.NewProposer(p.incarnation, p.counter, p.operation.change)
	promise := p.promise
	p.promise = register.Promise{}
	if p.promiseEpoch != p.epoch {
		promise = register.Promise{}
	}
	if sim.fastRounds && promise.Ballot.IsZero() {
		sim.send(p, p.proposer.BeginFast(sim.memberCount))
		return
	}
	sim.send(p, p.proposer.BeginWithPromise(sim.memberCount, promise))
}

func (sim *simulation) retry(p *process) {
	if p.operation == nil {
		return
	}
	p.epoch = sim.newest
	sim.send(p, p.proposer.Begin(sim.memberCount))
}

func (sim *simulation) send(p *process, request register.Request) {
	for member := range sim.memberCount {
		sim.messages = append(sim.messages, message{
			proposer: p.proposer, process: p, request: request, epoch: p.epoch, member: member,
			incarnation: sim.epochs[p.epoch].incarnations[member],
		})
	}
	sim.messages = sim.messages[max(0, len(sim.messages)-messageLimit):]
}

// takeMessage removes a random message under way, so that messages are reordered.
func (sim *simulation) takeMessage() (taken message, found bool) {
	if len(sim.messages) == 0 {
		return message{}, false
	}
	index := sim.pick(len(sim.messages))
	taken = sim.messages[index]
	sim.messages = slices.Delete(sim.messages, index, index+1)
	return taken, true
}

func (sim *simulation) duplicate() {
	if len(sim.messages) > 0 {
		sim.messages = append(sim.messages, sim.messages[sim.pick(len(sim.messages))])
	}
}

func (sim *simulation) deliver() {
	switch m, found := sim.takeMessage(); {
	case !found:
	case m.answered:
		sim.receive(m)
	default:
		sim.serve(m)
	}
}

// serve has a replica answer a request if it is running and the fence matches.
func (sim *simulation) serve(m message) {
	number := sim.epochs[m.epoch].nodes[m.member]
	node := sim.nodes[number]
	state := node.epochs[m.epoch]
	if number == sim.stoppedNode || node.incarnation != m.incarnation || state == nil || state.sealed {
		return
	}
	m.answered = true
	acceptor := register.Acceptor{}
	if m.request.Phase == register.PhasePrepare {
		state.register, m.prepare = acceptor.Prepare(state.register, m.request.Ballot)
	} else {
		state.register, m.accept = acceptor.Accept(state.register, m.request.Ballot, m.request.Value, m.request.Next)
	}
	sim.messages = append(sim.messages, m)
}

// receive passes an answer to its proposer if that is still active.
func (sim *simulation) receive(m message) {
	p := m.process
	if p.operation == nil || p.proposer != m.proposer || p.epoch != m.epoch {
		return
	}
	var request register.Request
	var status register.Status
	if m.request.Phase == register.PhasePrepare {
		request, status = p.proposer.OnPrepare(m.request.Ballot, m.member, m.prepare)
	} else {
		status = p.proposer.OnAccept(m.request.Ballot, m.member, m.accept)
	}
	switch status {
	case register.StatusSend:
		sim.send(p, request)
	case register.StatusRetry:
		sim.retry(p)
	case register.StatusDone:
		result := p.proposer.Result()
		p.promise, p.promiseEpoch = result.Promise, p.epoch
		sim.record(p, result)
	}
}

func (sim *simulation) abandon(p *process) {
	if p.operation != nil {
		sim.record(p, p.proposer.Result())
	}
}

// reconfigure takes the next step of moving the register to the next epoch: choose its
// members, seal the old ones, copy from a sealed majority, open. The steps interleave with
// all other events.
func (sim *simulation) reconfigure() {
	last := len(sim.epochs) - 1
	if last == sim.newest {
		sim.chooseMembers()
		return
	}
	sealed := sim.sealedStates(sim.newest)
	if len(sealed) < sim.majority() || sim.pick(3) == 0 {
		sim.seal(sim.pick(sim.memberCount))
	} else {
		// Each new member may copy from a different majority.
		sim.random.Shuffle(len(sealed), func(i, j int) { sealed[i], sealed[j] = sealed[j], sealed[i] })
		sim.install(sim.pick(sim.memberCount), sealed[:sim.majority()])
	}
	if sim.countHolders(last) >= sim.majority() {
		sim.newest = last
	}
}

func (sim *simulation) chooseMembers() {
	numbers := sim.random.Perm(nodeCount)[:sim.memberCount]
	chosen := epoch{nodes: numbers}
	for _, number := range numbers {
		chosen.incarnations = append(chosen.incarnations, sim.nodes[number].incarnation)
	}
	sim.epochs = append(sim.epochs, chosen)
}

// state returns a member's state in an epoch, or nil if the member has lost it.
func (sim *simulation) state(number, member int) *epochState {
	node := sim.nodes[sim.epochs[number].nodes[member]]
	if node.incarnation != sim.epochs[number].incarnations[member] {
		return nil
	}
	return node.epochs[number]
}

func (sim *simulation) seal(member int) {
	if state := sim.state(sim.newest, member); state != nil {
		state.sealed = true
	}
}

func (sim *simulation) sealedStates(number int) []replica.Register {
	var sealed []replica.Register
	for member := range sim.memberCount {
		if state := sim.state(number, member); state != nil && state.sealed {
			sealed = append(sealed, state.register)
		}
	}
	return sealed
}

func (sim *simulation) install(member int, sealed []replica.Register) {
	last := len(sim.epochs) - 1
	node := sim.nodes[sim.epochs[last].nodes[member]]
	if node.incarnation == sim.epochs[last].incarnations[member] && node.epochs[last] == nil {
		node.epochs[last] = &epochState{register: register.Merge(sealed...)}
	}
}

// countHolders counts the members that hold a state in the epoch.
func (sim *simulation) countHolders(number int) int {
	count := 0
	for member := range sim.memberCount {
		if sim.state(number, member) != nil {
			count++
		}
	}
	return count
}

// record adds the operation's result to the history. A change that was certainly not
// applied is left out, so that any trace of it is a violation.
func (sim *simulation) record(p *process, result register.Result) {
	op := p.operation
	p.operation = nil
	p.counter = p.proposer.Counter()
	sim.now++
	entry := porcupine.Operation{Input: *op, Call: p.calledAt, Return: sim.now}
	switch result.Outcome {
	case register.OutcomeNotApplied:
		return
	case register.OutcomeUnknown:
		entry.Return = math.MaxInt64
	case register.OutcomeApplied:
		// The value that Apply returned was the register's at some time in this interval.
		observation := entry
		observation.Input = operation{kind: kindRead}
		observation.Output = observed{outcome: result.Outcome, value: string(result.Value)}
		sim.history = append(sim.history, observation)
	}
	entry.Output = observed{outcome: result.Outcome, value: string(result.Value)}
	sim.history = append(sim.history, entry)
}
