package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/register"
)

// unknownEpoch is the epoch of a pull that asks for the view before the newest one that
// the replica knows. The replica refuses it and returns that view.
const unknownEpoch uint64 = 0

// CatchUp installs the shards whose data this replica should hold but doesn't, because it
// was slower than the majority or unreachable when the epoch opened. Until then the set
// has fewer copies than members.
func (i *Installer) CatchUp(ctx context.Context) {
	for _, missing := range i.replica.missingShards() {
		i.catchUpShard(ctx, missing)
	}
}

func (i *Installer) catchUpShard(ctx context.Context, missing shardState) {
	if !missing.knowsPrevious() {
		missing.Previous = i.fetchPreviousView(ctx, missing.View)
	}
	if missing.knowsPrevious() {
		i.Install(ctx, InstallRequest{Previous: missing.Previous, Successor: missing.View})
	}
}

// fetchPreviousView asks the other members for the view before this one. A node that
// skipped epochs, because it learned the view by gossip, doesn't know it.
func (i *Installer) fetchPreviousView(ctx context.Context, view register.View) register.View {
	for _, member := range view.Members {
		if member.Incarnation == i.replica.incarnation {
			continue
		}
		fence := register.Fence{Shard: view.Shard, Epoch: unknownEpoch, Replica: member.Incarnation}
		reply, err := i.source.Pull(ctx, member, PullRequest{Fence: fence, TurnsOnly: true}, discardItem)
		if err == nil && reply.View != nil && reply.View.Epoch+1 == view.Epoch {
			return *reply.View
		}
	}
	return register.View{}
}

func discardItem(PullItem) error { return nil }

// knowsPrevious reports whether Previous is the view of the epoch right before that of View.
func (s shardState) knowsPrevious() bool {
	return s.Previous.Epoch > 0 && s.Previous.Epoch+1 == s.View.Epoch
}

// missingShards returns the states of the shards that this replica is a member of, by the
// newest decided view that it knows, but whose data it doesn't hold.
func (r *Replica) missingShards() []shardState {
	var missing []shardState
	for shard := range r.views.Count() {
		local, err := r.acquire(shard)
		if err != nil {
			continue
		}
		current := local.state
		local.mutex.RUnlock()
		if r.isMember(current.View) && !current.isInstalled() {
			missing = append(missing, current)
		}
	}
	return missing
}
