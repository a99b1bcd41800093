package register

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/marblering/marblering/state/replica"
)

// answer is what came back from one member.
type answer struct {
	member int
	// place is the member's place in the order in which members were asked.
	place   int
	phase   Phase
	ballot  replica.Ballot
	prepare PrepareReply
	accept  AcceptReply
	err     error
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

// callsForAnother tells whether another member may do better. One that has promised a
// higher ballot is no reason to ask others: the next round is above that one.
func (a answer) callsForAnother() bool {
	return a.err != nil || a.refusal() != RefusalNone && a.refusal() != RefusalBallot
}

// isUnreachable tells whether the member can't take part at all, as against one
// that is overtaken or between two epochs.
func (a answer) isUnreachable() bool {
	switch a.refusal() {
	case RefusalIncarnation, RefusalStorage:
		return true
	default:
		return a.err != nil
	}
}

// round is one attempt of a batch against one view and one configuration.
type round struct {
	client   *Client
	id       registerID
	view     View
	version  uint64
	proposer *Proposer
	// abandoned is closed when nobody waits for the result any more.
	abandoned <-chan struct{}

	// fromPromise is set where the round began with a kept promise. When it
	// fails, another node has most likely made the change before this one and
	// is not at work any more, so that there is no duel to wait out.
	fromPromise bool
	// isFresh is set where the round began without a prepare and without a
	// promise; all members must answer then.
	isFresh     bool
	answered    int
	unreachable int
	newestView  View
	newest      uint64
	failure     error
}

// run drives the proposer from the request until it is done or the round fails.
func (r *round) run(request Request) Status {
	for {
		next, status := r.exchange(request)
		if status != StatusSend {
			return status
		}
		request = next
	}
}

// exchange sends one request to the members and feeds the answers to the
// proposer until it knows how to go on. Requests to members that are slower than
// the majority run on without anyone waiting, so that those replicas keep up.
func (r *round) exchange(request Request) (Request, Status) {
	sent := r.startExchange(request)
	defer sent.finish()
	expired := sent.expired
	if r.isFresh {
		late := make(chan struct{})
		defer r.client.clock.AfterFunc(r.client.fresh.patience, func() { close(late) })()
		expired = late
	}
	r.answered = 0
	r.unreachable = 0
	for r.answered < sent.members.Asked() {
		select {
		case received := <-sent.answers:
			r.note(received)
			sent.take(received)
			next, status := r.feed(received)
			if status != StatusWaiting {
				return next, status
			}
			if received.callsForAnother() {
				sent.members.Ask(1)
			}
		case <-sent.late:
			sent.hedge()
		case <-expired:
			if r.isFresh {
				// The others may well be a majority.
				r.client.fresh.close(r.id.shard)
				return Request{}, StatusRetry
			}
			sent.passOver()
			r.unreachable += sent.members.Asked() - r.answered
			r.failure = merry.Errorf("%d of %d members didn't answer within %v",
				sent.members.Asked()-r.answered, len(r.view.Members), r.client.settings.RequestTimeout)
			return Request{}, StatusRetry
		case <-r.abandoned:
			return Request{}, StatusRetry
		}
	}
	return Request{}, StatusRetry
}

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

func (r *round) feed(received answer) (Request, Status) {
	switch {
	case received.err != nil:
		return Request{}, r.proposer.OnFailure(received.phase, received.ballot, received.member)
	case received.phase == PhasePrepare:
		return r.proposer.OnPrepare(received.ballot, received.member, received.prepare)
	default:
		return Request{}, r.proposer.OnAccept(received.ballot, received.member, received.accept)
	}
}

// note keeps what the answer tells beyond the register itself.
func (r *round) note(received answer) {
	r.answered++
	if received.isUnreachable() {
		r.unreachable++
	}
	node := r.view.Members[received.member].Node
	switch {
	case received.err != nil:
		r.failure = merry.Prependf(received.err, "member %s", node)
		return
	case received.refusal() != RefusalNone:
		r.failure = merry.Errorf("member %s refused: %v", node, received.refusal())
	}
	if view := received.view(); view != nil && view.Epoch > r.newestView.Epoch {
		r.newestView = *view
	}
	r.newest = max(r.newest, received.configurationVersion())
}

// hasLostMajority tells whether too few members can take part at all.
func (r *round) hasLostMajority() bool {
	return len(r.view.Members)-r.unreachable < r.view.Quorum()
}

// learn passes on newer views and configurations and tells whether this node
// knows more than the round did, so that another round makes sense at once.
func (r *round) learn() bool {
	views := r.client.views
	if r.newestView.Epoch > r.view.Epoch {
		views.Learn(r.newestView)
	}
	if r.newest > r.version {
		ctx, cancel := r.client.limit(r.abandoned)
		views.LearnConfiguration(ctx, r.newest)
		cancel()
	}
	view, known := views.View(r.id.shard)
	return known && (view.Epoch > r.view.Epoch || views.ConfigurationVersion() > r.version)
}
