package register

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/marblering/marblering/state/replica"
)

// answer is a member's reply to the request of the phase, or the error of that request.
type answer struct {
	member int
	// position is the member's position in the order in which members are asked.
	position int
	phase    Phase
	ballot   replica.Ballot
	prepare  PrepareReply
	accept   AcceptReply
	err      error
}

func (a answer) refusal() Refusal {
	if a.phase == PhasePrepare {
		return a.prepare.Refusal
	}
	return a.accept.Refusal
}

func (a answer) view() *View {
	if a.phase == PhasePrepare {
		return a.prepare.View
	}
	return a.accept.View
}

func (a answer) configurationVersion() uint64 {
	if a.phase == PhasePrepare {
		return a.prepare.ConfigurationVersion
	}
	return a.accept.ConfigurationVersion
}

// needsReplacement reports whether another member must be asked instead of this one. If
// the member has promised a higher ballot, asking another one is no use: the next round
// has to use a ballot above that one.
func (a answer) needsReplacement() bool {
	return a.err != nil || a.refusal() != RefusalNone && a.refusal() != RefusalBallot
}

// isUnreachable reports whether the member can't take part at all, unlike one that has
// promised a higher ballot or is between two epochs.
func (a answer) isUnreachable() bool {
	switch a.refusal() {
	case RefusalIncarnation, RefusalStorage:
		return true
	default:
		return a.err != nil
	}
}

// round is one attempt to apply a batch with one view and one configuration version. It
// is used by one goroutine.
type round struct {
	client   *Client
	id       registerID
	view     View
	version  uint64
	proposer *Proposer
	// abandoned is closed when no caller waits for the result any more.
	abandoned <-chan struct{}

	// fromPromise is set if the round began with the promise of an earlier change. If the
	// round fails, another node has most likely completed a change in between, so that the
	// next round needs no backoff.
	fromPromise bool
	// isFast is set if the round began without a prepare and without a promise. All
	// members must grant its request.
	isFast bool
	// answered and unreachable count the members that have answered the current request
	// or can't be reached.
	answered    int
	unreachable int
	// newestView and newestVersion are the newest view and configuration version that
	// members have reported.
	newestView    View
	newestVersion uint64
	// lastFailure is the most recent failure of a member.
	lastFailure error
}

// run drives the proposer from its first request until it is done or the round fails.
func (r *round) run(request Request) Status {
	for {
		next, status := r.exchange(request)
		if status != StatusSend {
			return status
		}
		request = next
	}
}

// exchange sends one request to the members and passes the answers to the proposer until
// it returns the next step. It returns StatusRetry if the time is over, if all members
// that were asked have answered, or if no caller waits for the result any more.
func (r *round) exchange(request Request) (Request, Status) {
	sent := r.startExchange(request)
	defer sent.finish()
	expired := sent.expired
	if r.isFast {
		fastRoundExpired := make(chan struct{})
		defer r.client.clock.AfterFunc(r.client.fastRounds.timeout, func() { close(fastRoundExpired) })()
		expired = fastRoundExpired
	}
	r.answered = 0
	r.unreachable = 0
	for r.answered < sent.members.Asked() {
		select {
		case received := <-sent.answers:
			next, status := r.handleAnswer(sent, received)
			if status != StatusWaiting {
				return next, status
			}
		case <-sent.hedgeDue:
			sent.hedge()
		case <-expired:
			r.handleTimeout(sent)
			return Request{}, StatusRetry
		case <-r.abandoned:
			return Request{}, StatusRetry
		}
	}
	return Request{}, StatusRetry
}

// handleAnswer passes an answer to the proposer and asks another member if this one can't
// grant the request.
func (r *round) handleAnswer(sent *exchange, received answer) (Request, Status) {
	r.recordAnswer(received)
	sent.recordAnswer(received)
	next, status := r.stepProposer(received)
	if status == StatusWaiting && received.needsReplacement() {
		sent.members.Ask(1)
	}
	return next, status
}

// handleTimeout ends the wait for the members that haven't answered.
func (r *round) handleTimeout(sent *exchange) {
	if r.isFast {
		// The timeout of a fast round is short: the members don't count as unreachable, since
		// an ordinary round may well find a majority.
		r.client.fastRounds.suspend(r.id.shard)
		return
	}
	unanswered := sent.members.Asked() - r.answered
	sent.avoidPending()
	r.unreachable += unanswered
	r.lastFailure = merry.Errorf("%d of %d members didn't answer within %v",
		unanswered, len(r.view.Members), r.client.settings.RequestTimeout)
}

// send sends the request to the member with the index and returns its answer.
func (r *round) send(ctx context.Context, index int, request Request) answer {
	member := r.view.Members[index]
	fence := Fence{
		Shard:                r.id.shard,
		Epoch:                r.view.Epoch,
		ConfigurationVersion: r.version,
		Replica:              member.Incarnation,
	}
	result := answer{member: index, phase: request.Phase, ballot: request.Ballot}
	if request.Phase == PhasePrepare {
		result.prepare, result.err = r.client.transport.Prepare(ctx, member, PrepareRequest{
			Fence: fence, Key: r.id.key, Ballot: request.Ballot,
		})
		return result
	}
	result.accept, result.err = r.client.transport.Accept(ctx, member, AcceptRequest{
		Fence: fence, Key: r.id.key, Ballot: request.Ballot, Value: request.Value, Next: request.Next,
	})
	return result
}

// stepProposer passes the answer to the proposer.
func (r *round) stepProposer(received answer) (Request, Status) {
	switch {
	case received.err != nil:
		return Request{}, r.proposer.OnFailure(received.phase, received.ballot, received.member)
	case received.phase == PhasePrepare:
		return r.proposer.OnPrepare(received.ballot, received.member, received.prepare)
	default:
		return Request{}, r.proposer.OnAccept(received.ballot, received.member, received.accept)
	}
}

// recordAnswer records the failure, view and configuration version of the answer.
func (r *round) recordAnswer(received answer) {
	r.answered++
	if received.isUnreachable() {
		r.unreachable++
	}
	node := r.view.Members[received.member].Node
	switch {
	case received.err != nil:
		r.lastFailure = merry.Prependf(received.err, "member %s", node)
		return
	case received.refusal() != RefusalNone:
		r.lastFailure = merry.Errorf("member %s refused: %v", node, received.refusal())
	}
	if view := received.view(); view != nil && view.Epoch > r.newestView.Epoch {
		r.newestView = *view
	}
	r.newestVersion = max(r.newestVersion, received.configurationVersion())
}

// hasLostMajority reports whether too few members are reachable for a majority.
func (r *round) hasLostMajority() bool {
	return len(r.view.Members)-r.unreachable < r.view.Quorum()
}

// learnNewerView passes on the newer view and configuration version that members have
// reported. It returns true if this node now knows newer ones than the round used, so that
// the next round needs no backoff.
func (r *round) learnNewerView() bool {
	views := r.client.views
	if r.newestView.Epoch > r.view.Epoch {
		views.Learn(r.newestView)
	}
	if r.newestVersion > r.version {
		ctx, cancel := r.client.requestContext(r.abandoned)
		views.LearnConfiguration(ctx, r.newestVersion)
		cancel()
	}
	view, known := views.View(r.id.shard)
	return known && (view.Epoch > r.view.Epoch || views.ConfigurationVersion() > r.version)
}
