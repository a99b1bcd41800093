package shard

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// Seal ends the fence's epoch. The reply carries the newest decided view that
// the replica knows, open or not.
func (r *Replica) Seal(_ context.Context, request SealRequest) archive.Reply {
	if request.Fence.Replica != r.incarnation {
		return archive.Reply{Refusal: register.RefusalIncarnation, View: r.openView(request.Fence.Shard)}
	}
	if request.Successor.Epoch != request.Fence.Epoch+1 || request.Successor.Shard != request.Fence.Shard {
		return archive.Reply{Refusal: register.RefusalEpoch}
	}
	return r.adoptView(request.Successor, request.Fence.Epoch == FirstEpoch)
}

// adoptView takes in a decided view: the epochs before it have ended here.
// WasFirst tells that this replica is a member of the first epoch, which began
// empty, so that a member that has never heard of it holds its data.
func (r *Replica) adoptView(view register.View, wasFirst bool) archive.Reply {
	if view.Validate() != nil {
		return archive.Reply{Refusal: register.RefusalEpoch}
	}
	p, err := r.acquire(view.Shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	p.mutex.RUnlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if view.Epoch > p.state.View.Epoch {
		next := p.state.advanceTo(view)
		if wasFirst && p.state.View.Epoch == 0 {
			next.DataEpoch = FirstEpoch
		}
		if err := r.setState(view.Shard, p, next); err != nil {
			return archive.Reply{Refusal: register.RefusalStorage}
		}
	}
	newest := p.state.View
	if newest.Epoch == view.Epoch && !slices.Equal(newest.Members, view.Members) {
		// Two decisions about one epoch: whoever sent this one is wrong.
		return archive.Reply{Refusal: register.RefusalEpoch, View: &newest}
	}
	return archive.Reply{View: &newest}
}

// Open lets the replica serve the view, which it must have installed. The caller
// must know that a majority of the members have.
func (r *Replica) Open(_ context.Context, request OpenRequest) archive.Reply {
	p, err := r.acquire(request.View.Shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	current := p.state
	p.mutex.RUnlock()
	isFirst := request.View.Epoch == FirstEpoch && current.View.Epoch == 0
	switch {
	case request.View.Validate() != nil:
		return archive.Reply{Refusal: register.RefusalEpoch}
	case !r.isMember(request.View):
		return archive.Reply{Refusal: register.RefusalIncarnation}
	case current.View.Epoch > request.View.Epoch:
		return archive.Reply{Refusal: register.RefusalEpoch, View: r.openView(request.View.Shard)}
	case !isFirst && (current.View.Epoch < request.View.Epoch || !current.isInstalled()):
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	r.views.Learn(request.View)
	if err := r.applyOpenView(request.View.Shard, p); err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	return archive.Reply{}
}

// Pull visits what the replica holds of the shard. Registers are given only
// once the fence's epoch has ended here, so that nothing is granted in it after
// they were read.
func (r *Replica) Pull(_ context.Context, request PullRequest, visit func(PullItem) error) (archive.Reply, error) {
	shard := request.Fence.Shard
	p, err := r.acquire(shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}, nil
	}
	current := p.state
	p.mutex.RUnlock()
	hasEnded := current.View.Epoch > request.Fence.Epoch
	switch {
	case request.Fence.Replica != r.incarnation:
		return archive.Reply{Refusal: register.RefusalIncarnation, View: r.openView(shard)}, nil
	case request.Fence.Epoch == unknownEpoch:
		return archive.Reply{Refusal: register.RefusalEpoch, View: &current.Previous}, nil
	case current.DataEpoch < request.Fence.Epoch, !request.TurnsOnly && !hasEnded:
		return archive.Reply{Refusal: register.RefusalNotReady}, nil
	}
	if len(request.Wanted) > 0 {
		return archive.Reply{}, r.pullWanted(shard, request.Wanted, visit)
	}
	if !request.TurnsOnly {
		if err := r.pullRegisters(shard, visit); err != nil {
			return archive.Reply{}, err
		}
	}
	each := r.store.EachTurn
	if request.OmitObjects {
		each = r.eachTurnName
	}
	return archive.Reply{}, each(shard, func(turn replica.Turn) error { return visit(PullItem{Turn: &turn}) })
}

func (r *Replica) eachTurnName(shard uint32, visit func(replica.Turn) error) error {
	return replica.EachTurnName(r.store, shard, visit)
}

func (r *Replica) pullRegisters(shard uint32, visit func(PullItem) error) error {
	return r.store.EachRegister(shard, func(key string, state replica.Register) error {
		if isSuccessorKey(key) {
			return nil
		}
		return visit(PullItem{Register: &RegisterState{Key: key, State: state}})
	})
}

// errPastWanted ends a read of turns that is past the wanted one.
var errPastWanted = merry.Sentinel("past the wanted turn")

// pullWanted visits those of the wanted turns that the replica holds.
func (r *Replica) pullWanted(shard uint32, wanted []TurnReference, visit func(PullItem) error) error {
	for _, reference := range wanted {
		err := r.store.ReadTurns(shard, reference.Program, reference.Sequence, func(turn replica.Turn) error {
			if turn.Sequence > reference.Sequence {
				return errPastWanted
			}
			if turn.Digest != reference.Digest {
				return nil
			}
			return visit(PullItem{Turn: &turn})
		})
		if err != nil && !errors.Is(err, errPastWanted) {
			return err
		}
	}
	return nil
}

// Restore loads what the store holds of each shard's epochs, and tells the map
// the views that were open. A node calls it when it starts with a data folder.
func (r *Replica) Restore() error {
	for shard := range r.views.Count() {
		p, err := r.acquire(shard)
		if err != nil {
			return err
		}
		p.mutex.RUnlock()
	}
	return nil
}

// Unfinished returns the view that is to be followed, for each shard of which
// this replica knows that a change of epoch began and not that it ended. Whoever
// began it may be gone: driving these views, without wanting other members,
// finishes the change before the members that it names fail too.
func (r *Replica) Unfinished() []register.View {
	var unfinished []register.View
	for shard := range r.views.Count() {
		p, err := r.acquire(shard)
		if err != nil {
			continue
		}
		current := p.state
		p.mutex.RUnlock()
		if current.Opened.Epoch == 0 {
			// Others know which view is to be followed.
			continue
		}
		hasEnded := current.Opened.Epoch < current.View.Epoch
		if hasEnded || r.isChangeProposed(shard, current.View.Epoch) {
			unfinished = append(unfinished, current.Opened)
		}
	}
	return unfinished
}

// isChangeProposed tells whether a successor of the epoch was accepted here.
func (r *Replica) isChangeProposed(shard uint32, epoch uint64) bool {
	decision, err := r.store.LoadRegister(shard, successorKey(epoch))
	return err == nil && !decision.Accepted.IsZero()
}

// Unready returns the shards whose newest open view has this replica as a
// member although it doesn't hold their data: it missed the change of epoch.
func (r *Replica) Unready() []uint32 {
	var unready []uint32
	for _, view := range r.views.Views() {
		if !r.isMember(view) {
			continue
		}
		p, err := r.acquire(view.Shard)
		if err != nil {
			unready = append(unready, view.Shard)
			continue
		}
		if !p.state.isInstalled() {
			unready = append(unready, view.Shard)
		}
		p.mutex.RUnlock()
	}
	return unready
}
