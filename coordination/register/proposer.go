package register

import (
	"bytes"

	"github.com/marblering/marblering/state/replica"
)

// Change computes the next value of a register from the current one, which is nil before
// the first change. An error leaves the register unchanged and is returned to the caller.
// If the next value equals the current one, the change is a read. The package comment
// lists the requirements for a change.
type Change func(current []byte) (next []byte, err error)

// Phase is the phase of a round.
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

// fastRoundCounter is the counter of ballots that are used without a prepare. Prepared
// ballots have higher counters.
const fastRoundCounter = 0

// Request is what a proposer sends to every member.
type Request struct {
	Phase  Phase
	Ballot replica.Ballot
	// Value and Next are set in PhaseAccept: the value to accept, and the ballot to
	// promise along with it.
	Value []byte
	Next  replica.Ballot
}

// Status says what the proposer's caller has to do next.
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

// Outcome says whether a change was applied.
type Outcome uint8

// Outcomes of a change.
const (
	// OutcomeNotApplied: no accept with a new value was ever sent.
	OutcomeNotApplied Outcome = iota
	// OutcomeUnknown: an accept with a new value was sent, but it is not known whether
	// a majority accepted it. Another proposer may still complete it.
	OutcomeUnknown
	// OutcomeApplied: the value is chosen. It may be one that the change read and left
	// unchanged.
	OutcomeApplied
	// OutcomeRefused: the change returned an error on a chosen value, and none of the
	// proposer's own values can be chosen any more.
	OutcomeRefused
)

// Promise is an unused ballot that a majority has promised to this proposer, with the
// highest value accepted below it.
type Promise struct {
	Ballot replica.Ballot
	Value  []byte
}

// Result is the final state of a proposer.
type Result struct {
	Outcome Outcome
	// Value is the chosen value.
	Value []byte
	// Refusal is the change's error if Outcome is OutcomeRefused.
	Refusal error
	// Evaluation is the number of the chosen call of the change, from one.
	Evaluation int
	// Promise lets the next change of this register skip the prepare.
	Promise Promise
}

// proposal is a value that the proposer has sent or may send for acceptance.
type proposal struct {
	value []byte
	// evaluation is the number of the call of the change that returned the value, from one.
	evaluation int
	// refusal is the error of that call. The value is then the one that was read.
	refusal error
	// changed is false for a value that was read and only needs to be confirmed.
	changed bool
}

// Proposer carries out one change of one register in as many rounds as it takes. Its
// caller sends the requests and passes in the answers. A Proposer is not safe for
// concurrent use.
type Proposer struct {
	incarnation string
	change      Change
	// counter is the highest ballot counter seen or used.
	counter uint64

	phase  Phase
	ballot replica.Ballot
	// next is the ballot that the members promise along with the accept.
	next replica.Ballot
	// answered says which members have answered the request of the current phase.
	answered []bool
	// needed is the number of members that must grant the request, granted and failed the
	// number of those that did and that refused or can't be reached.
	needed  int
	granted int
	failed  int
	// accepted and value are the highest ballot and its value that members reported in the
	// prepare; sameBallot is false once two members reported different ballots.
	accepted   replica.Ballot
	value      []byte
	sameBallot bool
	// current is the proposal of the accept under way; sent holds all proposals with a new
	// value that were ever sent, by their ballots.
	current     proposal
	sent        map[replica.Ballot]proposal
	evaluations int
	result      Result
}

// NewProposer returns a proposer of the change. Incarnation breaks ties between ballots;
// counter is the highest known ballot counter of the register.
func NewProposer(incarnation string, counter uint64, change Change) *Proposer {
	return &Proposer{incarnation: incarnation, counter: counter, change: change}
}

// Begin starts a round over the given number of members and returns the request to send
// to each. Answers of earlier rounds are ignored from here on.
func (p *Proposer) Begin(members int) Request {
	p.counter++
	p.ballot = replica.Ballot{Counter: p.counter, Proposer: p.incarnation}
	p.accepted = replica.Ballot{}
	p.value = nil
	p.sameBallot = true
	p.startPhase(PhasePrepare, members)
	return Request{Phase: PhasePrepare, Ballot: p.ballot}
}

// BeginWithPromise starts the first round with the promise of an earlier change, which
// saves the prepare. The promise must not be used again. If the change leaves the value
// unchanged, the round prepares after all, since only the answers of a majority show that
// the value is still current.
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

// BeginFast starts the first round of a register that has most likely never been changed,
// which saves the prepare: the value is sent at the proposer's lowest ballot, below all
// prepared ones. Members accept it only if they hold nothing. Several proposers may do so
// at the same time, so a majority is not enough at this ballot: the value is chosen only
// once all members have accepted it (the fast round of L. Lamport, "Fast Paxos", 2006,
// with a quorum of all). If any member refuses or doesn't answer, Begin starts an
// ordinary round.
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

// OnPrepare handles a member's answer to the prepare at the given ballot.
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

// OnAccept handles a member's answer to the accept at the given ballot.
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

// OnFailure records that the member will not answer the request of the given phase and
// ballot.
func (p *Proposer) OnFailure(phase Phase, ballot replica.Ballot, member int) Status {
	if !p.expects(phase, ballot, member) {
		return StatusWaiting
	}
	p.answered[member] = true
	return p.countFailure()
}

// Result returns the result. It is final after StatusDone; before that, it is the result
// if the proposer is abandoned now.
func (p *Proposer) Result() Result {
	if p.result.Outcome == OutcomeNotApplied && len(p.sent) > 0 {
		return Result{Outcome: OutcomeUnknown}
	}
	return p.result
}

// Counter returns the highest ballot counter seen or used.
func (p *Proposer) Counter() uint64 { return p.counter }

// startPhase discards the answers of the previous phase and waits for those of a majority.
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

// observe raises the counter to that of the ballot if it is lower.
func (p *Proposer) observe(ballot replica.Ballot) {
	p.counter = max(p.counter, ballot.Counter)
}

// observeAccepted records the highest accepted value and whether all answers agree on its
// ballot.
func (p *Proposer) observeAccepted(accepted replica.Ballot, value []byte) {
	if p.granted > 0 && accepted != p.accepted {
		p.sameBallot = false
	}
	if p.accepted.Less(accepted) {
		p.accepted = accepted
		p.value = value
	}
}

// countFailure counts a member that won't grant the request. The round fails once too few
// members are left.
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
		// The proposer's own value is the highest accepted one: complete it rather than apply
		// the change on top of its own effect. The values are compared because another
		// process with the same incarnation may have sent a different one at the fast round's
		// ballot.
		return p.startAccept(own)
	}
	candidate := p.evaluate(p.value)
	if p.canSkipAccept(candidate) {
		return Request{}, p.finish(candidate, Promise{Ballot: p.ballot, Value: p.value})
	}
	return p.startAccept(candidate)
}

// canSkipAccept reports whether the candidate needs no accept: the change leaves the value
// unchanged, the value is chosen because a majority holds it at one ballot, and the
// proposer has sent no value of its own that another proposer could still complete. A
// majority at the ballots of fast rounds doesn't show that a value is chosen.
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

// startAccept moves from the prepare to the accept of the candidate.
func (p *Proposer) startAccept(candidate proposal) (Request, Status) {
	p.startPhase(PhaseAccept, len(p.answered))
	return p.propose(candidate), StatusSend
}

// propose returns the accept request for the candidate at the round's ballot.
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

// finish sets the result to the proposal that was chosen.
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
