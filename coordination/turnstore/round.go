package turnstore

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

const (
	// hedgeDelay is how long the members that were asked may take before another
	// one is asked as well: some times what one takes that isn't overloaded.
	hedgeDelay = 150 * time.Millisecond
	// hedged names the requests of this package in the budget of hedges.
	hedged = "turns"
)

// answer is what one member answered.
type answer struct {
	member   int
	suffices bool
	err      error
}

// round is one action at the members of a view, those of this node's zone first.
type round struct {
	store   *Store
	view    register.View
	act     action
	members []register.Member
	answers chan answer
	// asked is how many of the members were asked, in their order. pending are
	// those that haven't answered, late those of them that were hedged.
	asked   int
	pending map[int]bool
	late    map[int]bool
	granted int
	failed  int
	last    error
}

// round asks as many members as the first fan-out says, and others once these
// fail or are late: bytes between zones are dear, and so is work on members.
func (s *Store) round(ctx context.Context, view register.View, act action, first int) error {
	members := s.preferred(view.Members)
	r := &round{
		store: s, view: view, act: act, members: members, answers: make(chan answer, len(members)),
		pending: make(map[int]bool), late: make(map[int]bool),
	}
	s.hedges.Attempted(hedged, time.Now())
	r.ask(ctx, first)
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for r.granted < view.Quorum() {
		select {
		case answered := <-r.answers:
			isOver, err := r.take(ctx, answered)
			if isOver {
				return err
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-ctx.Done():
			return errors.Join(ctx.Err(), r.last)
		}
	}
	return nil
}

// ask asks so many members more.
func (r *round) ask(ctx context.Context, count int) {
	for ; r.asked < len(r.members) && count > 0; count-- {
		index := r.asked
		r.asked++
		r.pending[index] = true
		go func() {
			answered := r.store.perform(ctx, r.view, r.members[index], r.act)
			answered.member = index
			r.answers <- answered
		}()
	}
}

// hedge asks another member where there is one left and the budget allows it.
func (r *round) hedge(ctx context.Context) {
	if r.asked == len(r.members) || !r.store.hedges.Retry(hedged, time.Now()) {
		return
	}
	for index := range r.pending {
		r.late[index] = true
	}
	r.ask(ctx, 1)
}

// take counts an answer and says whether the round is over.
func (r *round) take(ctx context.Context, answered answer) (isOver bool, err error) {
	delete(r.pending, answered.member)
	delete(r.late, answered.member)
	if answered.err != nil {
		r.failed++
		r.last = answered.err
		if r.failed > len(r.members)-r.view.Quorum() {
			return true, r.last
		}
		r.ask(ctx, 1)
		return false, nil
	}
	r.granted++
	r.passOver()
	if answered.suffices {
		return true, nil
	}
	r.ask(ctx, r.view.Quorum()-r.asked)
	return false, nil
}

// passOver has the members asked last for a while that were late and haven't
// answered before one that was asked after them. Otherwise each request would
// wait for them.
func (r *round) passOver() {
	for index := range r.late {
		r.store.reach.Failed(r.members[index].Address)
	}
	clear(r.late)
}

// perform asks one member. A refusal is an error; what it names is learned.
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

// note tells the tracker whether the member answered. A request that nobody
// waits for any more says nothing.
func (s *Store) note(ctx context.Context, address string, err error) {
	switch {
	case err == nil:
		s.reach.Heard(address)
	case !errors.Is(ctx.Err(), context.Canceled):
		s.reach.Failed(address)
	}
}

// action is one request to one member. It tells whether its answer suffices by
// itself.
type action func(ctx context.Context, member register.Member, fence register.Fence) (suffices bool, reply archive.Reply, err error)
