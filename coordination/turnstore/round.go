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
	// hedgeDelay is how long the members that were asked may take before another one
	// is asked as well. It is several times as long as a member takes that isn't
	// overloaded (chosen, not measured).
	hedgeDelay = 150 * time.Millisecond
	// hedged names the requests of this package in the budget of hedges.
	hedged = "turns"
)

// action is one request to one member. Suffices tells that no other member's answer is
// needed.
type action func(ctx context.Context, member register.Member, fence register.Fence) (suffices bool, reply archive.Reply, err error)

// answer is what one member answered.
type answer struct {
	// place is the member's place in the order in which members were asked.
	place    int
	suffices bool
	err      error
}

// round is one action at the members of a view, those of this node's zone first.
type round struct {
	view    register.View
	members *multicast.Round
	answers chan answer
	granted int
	failed  int
	// last is the error of the member that failed last.
	last error
}

// round asks the first members, and others where these fail or are late: each request
// is work for a member and perhaps traffic between zones. It returns nil once a quorum
// has granted the action or one answer suffices.
func (s *Store) round(ctx context.Context, view register.View, act action, first int) error {
	r := s.newRound(ctx, view, act)
	r.members.Begin(first)
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for r.granted < view.Quorum() {
		select {
		case answered := <-r.answers:
			isOver, err := r.take(answered)
			if isOver {
				return err
			}
		case <-hedge.C:
			// Each tick tries again, also after the budget has refused a hedge.
			if r.members.Left() > 0 {
				r.members.Hedge()
			}
		case <-ctx.Done():
			return errors.Join(ctx.Err(), r.last)
		}
	}
	return nil
}

func (s *Store) newRound(ctx context.Context, view register.View, act action) *round {
	ordered := s.preferred(view.Members)
	addresses := make([]string, len(ordered))
	for place, member := range ordered {
		addresses[place] = member.Address
	}
	answers := make(chan answer, len(ordered))
	send := func(place int) {
		go func() {
			answered := s.perform(ctx, view, ordered[place], act)
			answered.place = place
			answers <- answered
		}()
	}
	return &round{view: view, members: multicast.New(addresses, s.hedging, send), answers: answers}
}

// take counts an answer and tells whether the round is over, with its error.
func (r *round) take(answered answer) (isOver bool, err error) {
	r.members.Answered(answered.place)
	if answered.err != nil {
		r.failed++
		r.last = answered.err
		if r.failed > len(r.view.Members)-r.view.Quorum() {
			return true, r.last
		}
		r.members.Ask(1)
		return false, nil
	}
	r.granted++
	r.members.AvoidLate()
	if answered.suffices {
		return true, nil
	}
	r.members.Ask(r.view.Quorum() - r.members.Asked())
	return false, nil
}

// perform asks one member. A refusal is an error; the view that it names is learned.
func (s *Store) perform(ctx context.Context, view register.View, member register.Member, act action) answer {
	fence := register.Fence{Shard: view.Shard, Epoch: view.Epoch, Replica: member.Incarnation}
	suffices, reply, err := act(ctx, member, fence)
	s.note(ctx, member.Address, err)
	if reply.View != nil {
		s.views.Learn(*reply.View)
	}
	if err == nil && reply.Refusal != register.RefusalNone {
		err = merry.Errorf("member %s refused: %s", member.Node, reply.Refusal)
	}
	return answer{suffices: suffices, err: err}
}

// note tells the tracker whether the member answered, also when the round is over by
// then. A request that its caller canceled says nothing about the member.
func (s *Store) note(ctx context.Context, address string, err error) {
	switch {
	case err == nil:
		s.hedging.Reach.Heard(address)
	case !errors.Is(ctx.Err(), context.Canceled):
		s.hedging.Reach.Failed(address)
	}
}
