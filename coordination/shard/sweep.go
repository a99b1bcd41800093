package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/register"
)

// probeProgram is the program ID that AllHold pulls to learn whether a member holds a shard.
// No program has this ID.
const probeProgram = "!probe"

// DropUnneededShards deletes the data of shards whose open view doesn't include this replica, once every
// member of that view holds the shard. Until then the data may be needed as a source.
func (i *Installer) DropUnneededShards(ctx context.Context) error {
	for _, view := range i.replica.views.Views() {
		unneeded, err := i.replica.isUnneeded(view)
		if err != nil {
			return err
		}
		if !unneeded || !i.AllHold(ctx, view) {
			continue
		}
		if err := i.replica.dropShard(view); err != nil {
			return err
		}
	}
	return nil
}

// AllHold reports whether every member holds the data of the view.
func (i *Installer) AllHold(ctx context.Context, view register.View) bool {
	for _, member := range view.Members {
		probe := PullRequest{
			Fence:     fenceOf(view, member),
			TurnsOnly: true,
			Wanted:    []TurnReference{{Program: probeProgram}},
		}
		reply, err := i.source.Pull(ctx, member, probe, discardItem)
		if replyError(reply, err) != nil {
			return false
		}
	}
	return true
}

// isUnneeded reports whether the replica holds data of the shard although its newest decided
// view is the given open one and doesn't include the replica.
func (r *Replica) isUnneeded(view register.View) (bool, error) {
	local, err := r.acquire(view.Shard)
	if err != nil {
		return false, err
	}
	defer local.mutex.RUnlock()
	return local.state.isUnneeded(r, view), nil
}

func (s shardState) isUnneeded(r *Replica, view register.View) bool {
	return s.DataEpoch > 0 && s.View.Epoch == view.Epoch && !r.isMember(view)
}

// dropShard deletes the data of the shard unless a newer view has been decided meanwhile.
func (r *Replica) dropShard(view register.View) error {
	local, err := r.acquire(view.Shard)
	if err != nil {
		return err
	}
	local.mutex.RUnlock()
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if !local.state.isUnneeded(r, view) {
		return nil
	}
	next := local.state
	next.DroppedEpoch = max(next.DroppedEpoch, next.DataEpoch)
	next.DataEpoch = 0
	if err := r.setState(view.Shard, local, next); err != nil {
		return err
	}
	return r.store.DropShard(view.Shard)
}
