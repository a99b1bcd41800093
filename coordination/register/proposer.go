package register

import (
	"bytes"

	"github.com/marblering/marblering/state/replica"
)

// Change computes the next value of a register from the current one, which is nil
// before the first change. An error leaves the register as it is and is returned to the
// caller. A next value that equals the current one makes the change a read. The package
// comment says what a change must and must not do.
type Change func(current []byte) (next []byte, err error)

// Phase is the kind of a proposer's request.
type Phase uint8

// Phases of a round.
const (
	// PhaseIdle: no request is under way.
	PhaseIdle Phase = iota
	// PhasePrepare asks for promises and for the newest accepted values.
	PhasePrepare
	// PhaseAccept asks to accept a value.
	PhaseAccept
)

// fastRoundCounter is the counter of the ballots that are used without a prepare.
// Prepared ones begin above it.
const fastRoundCounter = 0

// Request is what a proposer sends to every member alike.
type Request struct {
	Phase  Phase
	Ballot replica.Ballot
	// Value and Next are set in PhaseAccept: the value to accept, and the ballot to
	// promise along with it.
	Value []byte
	Next  replica.Ballot
}

// Status says what a proposer waits for.
type Status uint8

// Statuses of a proposer.
const (
	// StatusWaiting: more answers are needed.
	StatusWaiting Status = iota
	// StatusSend: Request holds the next request to send to all members.
	StatusSend
	// StatusRetry: the round can't succeed; Begin starts another one.
	StatusRetry
	// StatusDone: Result holds the result.
	StatusDone
)

// Outcome is what became of a change.
type Outcome uint8

// Outcomes of a change.
const (
	// OutcomeNotApplied: no accept with a new value was ever sent.
	OutcomeNotApplied Outcome = iota
	// OutcomeUnknown: an accept with a new value was sent; no majority of
	// answers told whether it was chosen, and it may still be picked up.
	OutcomeUnknown
	// OutcomeApplied: the value is chosen, or was read as chosen where the
	// change left it as it was.
	OutcomeApplied
	// OutcomeRefused: the change returned an error on a value that is chosen,
	// and none of the proposer's own values can be chosen any more.
	OutcomeRefused
)

// Promise is a ballot that a majority has promised to this proposer and that
// was not used yet, with the value that is the highest accepted below it.
type Promise struct {
	Ballot replica.Ballot
	Value  []byte
}

// Result is the end of a proposer's work.
type Result struct {
	Outcome Outcome
	// Value is the chosen value.
	Value []byte
	// Refusal is the change's error where Outcome is OutcomeRefused.
	Refusal error
	// Evaluation is the number of the change's call, from one, whose effect or
	// refusal stands.
	Evaluation int
	// Promise lets the next change of this register skip the prepare.
	Promise Promise
}

// proposal is a value that the proposer wants to be chosen.
type proposal struct {
	value []byte
	// evaluation is the number of the change's call that gave the value, from one.
	evaluation int
	// refusal is the error of that call. The value is then the one that was read.
	refusal error
	// changed is false for a value that was read and is only to be confirmed.
	changed bool
}

// Proposer carries one change of one register through as many rounds as it
// takes. Its caller sends the requests and feeds the answers; a Proposer is not
// safe for concurrent use.
type Proposer struct {
	incarnation string
	change      Change
	// counter is the highest ballot counter seen or used.
	counter uint64

	phase  Phase
	ballot replica.Ballot
	// next is the ballot that the members promise along with the accept.
	next replica.Ballot
	// answered says which members have answered the request of the phase.
	answered []bool
	// needed is how many members have to grant the request; granted and failed count
	// those that have, and those that refused it or can't be reached.
	needed  int
	granted int
	failed  int
	// accepted and value are the highest ballot and its value that members reported
	// in the prepare; uniform is whether all reported the same ballot.
	accepted replica.Ballot
	value    []byte
	sameBallot  bool
	// current is the proposal of the accept under way, sent holds all proposals with a
	// new value that were ever sent, by their ballots.
	current     proposal
	sent        map[replica.Ballot]proposal
	evaluations int
	result      Result
}

// NewProposer returns a proposer of the change. Incarnation breaks ties between
// ballots; counter is the highest ballot counter known of the register.
func NewProposer(incarnation string, counter uint64, change Change) *Proposer {
	return &Proposer{incarnation: incarnation, counter: counter, change: change}
}

// Begin starts a round over the given number of members and returns the request
// to send to each. Answers of earlier rounds are ignored from here on.
func (p *Proposer) Begin(members int) Request {
	p.counter++
	p.ballot = replica.Ballot{Counter: p.counter, Proposer: p.incarnation}
	p.accepted = replica.Ballot{}
	p.value = nil
	p.sameBallot = true
	p.startPhase(PhasePrepare, members)
	return Request{Phase: PhasePrepare, Ballot: p.ballot}
}

// BeginWithPromise starts the first round with the promise that an earlier change left,
// which saves the prepare. The promise must not be used again. Where the change leaves
// the value as it is, the round prepares after all, since only the answers of a majority
// show that the value still stands.
func (p *Proposer) BeginWithPromise(members int, promise Promise) Request {
	p.observe(promise.Ballot)
	if promise.Ballot.IsZero() {
		return p.Begin(members)
	}
	candidate := p.evaluate(promise.Value)
	if !candidate.changed {
		return p.Begin(members)
	}
	p.ballot = promise.Ballot
	p.startPhase(PhaseAccept, members)
	return p.propose(candidate)
}

// BeginFast starts the first round of a register that has most likely never
// been changed, which saves the prepare: the value goes out at the lowest ballot
// of the proposer, below all that are ever prepared. Members accept it only
// where they hold nothing. Proposers may do so at once, so that, unlike at other
// ballots, a majority proves nothing: the value is chosen once all members have
// accepted it (the fast round of L. Lamport, "Fast Paxos", 2006, with a quorum of
// all). Where any member refuses or is silent, Begin starts an ordinary round.
func (p *Proposer) BeginFast(members int) Request {
	if p.counter > 0 {
		return p.Begin(members)
	}
	candidate := p.evaluate(nil)
	if !candidate.changed {
		return p.Begin(members)
	}
	p.ballot = replica.Ballot{Counter: fastRoundCounter, Proposer: p.incarnation}
	p.startPhase(PhaseAccept, members)
	p.needed = members
	return p.propose(candidate)
}

// OnPrepare takes a member's answer to the prepare at the given ballot.
func (p *Proposer) OnPrepare(ballot replica.Ballot, member int, reply PrepareReply) (Request, Status) {
	if !p.expects(PhasePrepare, ballot, member) {
		return Request{}, StatusWaiting
	}
	p.answered[member] = true
	if reply.Refusal != RefusalNone {
		p.observe(reply.Promised)
		return Request{}, p.countFailure()
	}
	p.observeAccepted(reply.Accepted, reply.Value)
	p.granted++
	if p.granted < p.needed {
		return Request{}, StatusWaiting
	}
	return p.onMajorityPromised()
}

// OnAccept takes a member's answer to the accept at the given ballot.
func (p *Proposer) OnAccept(ballot replica.Ballot, member int, reply AcceptReply) Status {
	if !p.expects(PhaseAccept, ballot, member) {
		return StatusWaiting
	}
	p.answered[member] = true
	if reply.Refusal != RefusalNone {
		p.observe(reply.Promised)
		return p.countFailure()
	}
	p.granted++
	if p.granted < p.needed {
		return StatusWaiting
	}
	return p.finish(p.current, Promise{Ballot: p.next, Value: p.current.value})
}

// OnFailure notes that the member will not answer the request of the given
// phase and ballot.
func (p *Proposer) OnFailure(phase Phase, ballot replica.Ballot, member int) Status {
	if !p.expects(phase, ballot, member) {
		return StatusWaiting
	}
	p.answered[member] = true
	return p.countFailure()
}

// Result returns the result. It is final after StatusDone; before, it is what holds if
// the proposer is given up now.
func (p *Proposer) Result() Result {
	if p.result.Outcome == OutcomeNotApplied && len(p.sent) > 0 {
		return Result{Outcome: OutcomeUnknown}
	}
	return p.result
}

// Counter returns the highest ballot counter seen or used.
func (p *Proposer) Counter() uint64 { return p.counter }

// startPhase forgets the answers of the phase before and waits for those of a majority.
func (p *Proposer) startPhase(phase Phase, members int) {
	p.phase = phase
	p.answered = make([]bool, members)
	p.needed = quorum(members)
	p.granted = 0
	p.failed = 0
}

// expects reports whether this is the member's first answer to the request under way.
func (p *Proposer) expects(phase Phase, ballot replica.Ballot, member int) bool {
	return p.phase == phase && p.ballot == ballot && member < len(p.answered) && !p.answered[member]
}

// observe keeps the counter at or above that of the ballot.
func (p *Proposer) observe(ballot replica.Ballot) {
	p.counter = max(p.counter, ballot.Counter)
}

// observeAccepted keeps the highest accepted value and whether all answers agree on it.
func (p *Proposer) observeAccepted(accepted replica.Ballot, value []byte) {
	if p.granted > 0 && accepted != p.accepted {
		p.sameBallot = false
	}
	if p.accepted.Less(accepted) {
		p.accepted = accepted
		p.value = value
	}
}

// countFailure counts a member that won't grant the request. The round fails once too few are
// left.
func (p *Proposer) countFailure() Status {
	p.failed++
	if len(p.answered)-p.failed >= p.needed {
		return StatusWaiting
	}
	p.phase = PhaseIdle
	return StatusRetry
}

// onMajorityPromised chooses the value to propose once a majority has promised the ballot.
func (p *Proposer) onMajorityPromised() (Request, Status) {
	own, found := p.sent[p.accepted]
	if found && bytes.Equal(own.value, p.value) {
		// The proposer's own value is the highest accepted one: finish it
		// rather than apply the change on top of its own effect. At the lowest
		// ballot another life of this proposer may have sent another value.
		return p.startAccept(own)
	}
	candidate := p.evaluate(p.value)
	if p.canSkipAccept(candidate) {
		return Request{}, p.finish(candidate, Promise{Ballot: p.ballot, Value: p.value})
	}
	return p.startAccept(candidate)
}

// canSkipAccept reports whether the candidate needs no accept: the change leaves the value as
// it is, the value is chosen because a majority holds it at one ballot, and the proposer
// has sent no value of its own that another proposer could still pick up. A majority at
// the lowest ballots doesn't show that a value is chosen.
func (p *Proposer) canSkipAccept(candidate proposal) bool {
	fromFastRound := p.accepted.Counter == fastRoundCounter && !p.accepted.IsZero()
	return !candidate.changed && p.sameBallot && !fromFastRound && len(p.sent) == 0
}

// evaluate runs the change on the current value.
func (p *Proposer) evaluate(current []byte) proposal {
	p.evaluations++
	next, refusal := p.change(current)
	if refusal != nil || bytes.Equal(next, current) {
		return proposal{value: current, evaluation: p.evaluations, refusal: refusal}
	}
	return proposal{value: next, evaluation: p.evaluations, changed: true}
}

// startAccept goes on from the prepare to the accept of the candidate.
func (p *Proposer) startAccept(candidate proposal) (Request, Status) {
	p.startPhase(PhaseAccept, len(p.answered))
	return p.propose(candidate), StatusSend
}

// propose returns the accept of the candidate at the round's ballot.
func (p *Proposer) propose(candidate proposal) Request {
	p.current = candidate
	if candidate.changed {
		if p.sent == nil {
			p.sent = make(map[replica.Ballot]proposal, 1)
		}
		p.sent[p.ballot] = candidate
	}
	p.next = replica.Ballot{Counter: p.ballot.Counter + 1, Proposer: p.incarnation}
	p.observe(p.next)
	return Request{Phase: PhaseAccept, Ballot: p.ballot, Value: candidate.value, Next: p.next}
}

// finish ends the proposer's work with the proposal that was chosen.
func (p *Proposer) finish(chosen proposal, promise Promise) Status {
	p.phase = PhaseIdle
	p.result = Result{
		Outcome:    OutcomeApplied,
		Value:      chosen.value,
		Refusal:    chosen.refusal,
		Evaluation: chosen.evaluation,
		Promise:    promise,
	}
	if chosen.refusal != nil {
		p.result.Outcome = OutcomeRefused
	}
	return StatusDone
}
