package turnstore

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/multicast"
	"github.com/marblering/marblering/coordination/register"
)

const (
	// hedgeDelay is how long to wait for answers before sending a hedged request to
	// another member. It is several times the usual time of a request.
	hedgeDelay = 150 * time.Millisecond
	// hedgeKind is the name of this package's requests in the retry budget of hedges.
	hedgeKind = "turns"
)

// action sends one request to one member. It returns suffices if no other member's answer
// is needed.
type action func(ctx context.Context, member register.Member, fence register.Fence) (suffices bool, reply archive.Reply, err error)

// answer is the result of an action at one member.
type answer struct {
	// memberIndex is the index of the member in the order of preference.
	memberIndex int
	member      register.Member
	suffices    bool
	reason      Reason
	// err is set unless reason is ReasonNone; cause is err without the member.
	err, cause error
}

// round performs an action at members of a view, in the order of preference.
type round struct {
	view     register.View
	requests *multicast.Round
	answers  chan answer
	// succeeded are the nodes that performed the action.
	succeeded []string
	failed    int
	// lastErr is the most recent error of a member.
	lastErr error
}

// round performs the action at the first members, and at others only if these fail or are
// late, to save requests and traffic between zones. It returns the nodes that performed the
// action once these are a quorum or one answer suffices, and records the members' answers in
// the log.
func (s *Store) round(ctx context.Context, view register.View, act action, first int, log *answerLog) ([]string, error) {
	log.beginRound(view)
	r := s.newRound(ctx, view, act, log)
	r.requests.Begin(first)
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for len(r.succeeded) < view.Quorum() {
		select {
		case answered := <-r.answers:
			isOver, err := r.handleAnswer(answered)
			if isOver {
				return r.succeeded, err
			}
		case <-hedge.C:
			// Retried at each tick, since the budget may have denied the last hedge.
			if r.requests.Remaining() > 0 {
				r.requests.Hedge()
			}
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), r.lastErr)
		}
	}
	return r.succeeded, nil
}

func (s *Store) newRound(ctx context.Context, view register.View, act action, log *answerLog) *round {
	ordered := s.orderByPreference(view.Members)
	addresses := make([]string, len(ordered))
	for index, member := range ordered {
		addresses[index] = member.Address
	}
	answers := make(chan answer, len(ordered))
	send := func(index int) {
		log.recordAsked(ordered[index])
		go func() {
			answered := s.askMember(ctx, view, ordered[index], act)
			answered.memberIndex = index
			log.recordAnswer(answered, view.Epoch, ctx.Err() != nil)
			answers <- answered
		}()
	}
	return &round{view: view, requests: multicast.New(addresses, s.hedging, send), answers: answers}
}

// handleAnswer counts an answer, sends further requests if they are needed, and returns
// whether the round is over, and its error.
func (r *round) handleAnswer(answered answer) (isOver bool, err error) {
	r.requests.RecordAnswer(answered.memberIndex)
	if answered.err != nil {
		r.failed++
		r.lastErr = answered.err
		if r.failed > len(r.view.Members)-r.view.Quorum() {
			return true, r.lastErr
		}
		r.requests.Ask(1)
		return false, nil
	}
	r.succeeded = append(r.succeeded, answered.member.Node)
	r.requests.AvoidLate()
	if answered.suffices {
		return true, nil
	}
	r.requests.Ask(r.view.Quorum() - r.requests.Asked())
	return false, nil
}

// askMember performs the action at one member. A refusal is an error. It stores the view
// that the member replies with, if any.
func (s *Store) askMember(ctx context.Context, view register.View, member register.Member, act action) answer {
	fence := register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
	suffices, reply, err := act(ctx, member, fence)
	s.reportReachability(ctx, member.Address, err)
	if reply.View != nil {
		s.views.Learn(*reply.View)
	}
	answered := answer{member: member, suffices: suffices, reason: reasonOf(reply, err), cause: err}
	if err == nil && reply.Refusal != register.RefusalNone {
		answered.cause = merry.Errorf("refused: %s", reply.Refusal)
	}
	answered.err = merry.Prependf(answered.cause, "member %s, epoch %d of shard %d", member.Node, view.Epoch, view.Shard)
	return answered
}

// reportReachability reports to the reachability tracker whether the member answered,
// even if the round has ended. It ignores requests that failed because the caller
// canceled them.
func (s *Store) reportReachability(ctx context.Context, address string, err error) {
	switch {
	case err == nil:
		s.hedging.Tracker.RecordResponse(address)
	case !errors.Is(ctx.Err(), context.Canceled):
		s.hedging.Tracker.RecordFailure(address)
	}
}
