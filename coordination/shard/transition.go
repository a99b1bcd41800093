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

// Seal ends the epoch of the fence. The reply has the newest decided view that the replica
// knows, open or not.
func (r *Replica) Seal(_ context.Context, request SealRequest) archive.Reply {
	if request.Fence.Replica != r.incarnation {
		return archive.Reply{Refusal: register.RefusalIncarnation, View: r.openView(request.Fence.Shard)}
	}
	if request.Successor.Epoch != request.Fence.Epoch+1 || request.Successor.Shard != request.Fence.Shard {
		return archive.Reply{Refusal: register.RefusalEpoch}
	}
	return r.adoptView(request.Successor, request.Fence.Epoch == FirstEpoch)
}

// adoptView records a decided view, which ends all earlier epochs on this replica.
// isFirstEpochMember is set if the replica is a member of the first epoch. That epoch starts
// empty, so such a replica holds its data even if it never learned of it.
func (r *Replica) adoptView(view register.View, isFirstEpochMember bool) archive.Reply {
	if view.Validate() != nil {
		return archive.Reply{Refusal: register.RefusalEpoch}
	}
	local, err := r.acquire(view.Shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	local.mutex.RUnlock()
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if view.Epoch > local.state.View.Epoch {
		next := local.state.advanceTo(view)
		if isFirstEpochMember && local.state.View.Epoch == 0 {
			next.DataEpoch = FirstEpoch
		}
		if err := r.setState(view.Shard, local, next); err != nil {
			return archive.Reply{Refusal: register.RefusalStorage}
		}
	}
	newest := local.state.View
	if newest.Epoch == view.Epoch && !slices.Equal(newest.Members, view.Members) {
		// Only one view can be decided for an epoch, so the request is invalid.
		return archive.Reply{Refusal: register.RefusalEpoch, View: &newest}
	}
	return archive.Reply{View: &newest}
}

// Open lets the replica serve the view, which it must have installed. The caller must know
// that a majority of the members have installed it.
func (r *Replica) Open(_ context.Context, request OpenRequest) archive.Reply {
	local, err := r.acquire(request.View.Shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	current := local.state
	local.mutex.RUnlock()
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
	if err := r.applyOpenView(request.View.Shard, local); err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	return archive.Reply{}
}

// Pull visits the data that the replica holds of the shard. It sends registers only once the
// epoch of the fence has ended on this replica, so that no vote in that epoch can follow the
// read. A replica that never held the data of that epoch then refuses with RefusalNeverHeld.
func (r *Replica) Pull(_ context.Context, request PullRequest, visit func(PullItem) error) (archive.Reply, error) {
	shard := request.Fence.Shard
	local, err := r.acquire(shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}, nil
	}
	current := local.state
	local.mutex.RUnlock()
	hasEnded := current.View.Epoch > request.Fence.Epoch
	switch {
	case request.Fence.Replica != r.incarnation:
		return archive.Reply{Refusal: register.RefusalIncarnation, View: r.openView(shard)}, nil
	case request.Fence.Epoch == unknownEpoch:
		return archive.Reply{Refusal: register.RefusalEpoch, View: &current.Previous}, nil
	case request.isFullListing() && current.neverHeld(request.Fence.Epoch):
		return archive.Reply{Refusal: register.RefusalNeverHeld}, nil
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
	return replica.EachTurnKey(r.store, shard, visit)
}

func (r *Replica) pullRegisters(shard uint32, visit func(PullItem) error) error {
	return r.store.EachRegister(shard, func(key string, state replica.Register) error {
		if isSuccessorKey(key) {
			return nil
		}
		return visit(PullItem{Register: &RegisterState{Key: key, State: state}})
	})
}

// errPastWanted stops a read of turns after the wanted one.
var errPastWanted = merry.Sentinel("past the wanted turn")

// pullWanted visits the wanted turns that the replica holds.
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

// Restore loads the stored state of each shard and adds the views that were open to the map.
// A node calls it when it starts with a data folder.
func (r *Replica) Restore() error {
	for shard := range r.views.Count() {
		local, err := r.acquire(shard)
		if err != nil {
			return err
		}
		local.mutex.RUnlock()
	}
	return nil
}

// Unfinished returns the open view of each shard whose change of epoch began, as far as this
// replica knows, and hasn't ended. Its driver may be gone. Driving these views without
// wanted members finishes the change before more members fail.
func (r *Replica) Unfinished() []register.View {
	var unfinished []register.View
	for shard := range r.views.Count() {
		local, err := r.acquire(shard)
		if err != nil {
			continue
		}
		current := local.state
		local.mutex.RUnlock()
		if current.Opened.Epoch == 0 {
			// Only replicas that know an open view can drive the change.
			continue
		}
		hasEnded := current.Opened.Epoch < current.View.Epoch
		if hasEnded || r.isChangeProposed(shard, current.View.Epoch) {
			unfinished = append(unfinished, current.Opened)
		}
	}
	return unfinished
}

// isChangeProposed reports whether this replica accepted a proposal for the successor of the epoch.
func (r *Replica) isChangeProposed(shard uint32, epoch uint64) bool {
	decision, err := r.store.LoadRegister(shard, successorKey(epoch))
	return err == nil && !decision.Accepted.IsZero()
}

// Unready returns the shards whose newest open view includes this replica although it
// doesn't hold their data, since it missed the change of epoch.
func (r *Replica) Unready() []uint32 {
	var unready []uint32
	for _, view := range r.views.Views() {
		if !r.isMember(view) {
			continue
		}
		local, err := r.acquire(view.Shard)
		if err != nil {
			unready = append(unready, view.Shard)
			continue
		}
		if !local.state.isInstalled() {
			unready = append(unready, view.Shard)
		}
		local.mutex.RUnlock()
	}
	return unready
}
