package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/register"
)

// unknownEpoch is the epoch of a pull that asks which view came before the
// newest one that the replica knows. It is answered by a refusal with that view.
const unknownEpoch uint64 = 0

// CatchUp installs the shards whose data this replica should hold and doesn't,
// since it was slower than the majority or wasn't reached when the epoch opened.
// Until then the set lives on what the majority holds.
func (i *Installer) CatchUp(ctx context.Context) {
	for _, missing := range i.replica.missingShards() {
		if !missing.knowsPrevious() {
			missing.Previous = i.fetchPreviousView(ctx, missing.View)
		}
		if missing.knowsPrevious() {
			i.Install(ctx, InstallRequest{Previous: missing.Previous, Successor: missing.View})
		}
	}
}

// fetchPreviousView asks the other members for the view before this one. A node that
// heard of the view by gossip, after missing some, doesn't know it.
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

// knowsPrevious tells whether the state names the view that the newest followed.
func (s shardState) knowsPrevious() bool {
	return s.Previous.Epoch > 0 && s.Previous.Epoch+1 == s.View.Epoch
}

// missingShards returns the states of the shards that this replica should hold by the
// newest view that it was told of, and doesn't.
func (r *Replica) missingShards() []shardState {
	var missing []shardState
	for shard := range r.views.Count() {
		p, err := r.acquire(shard)
		if err != nil {
			continue
		}
		current := p.state
		p.mutex.RUnlock()
		if r.isMember(current.View) && !current.isInstalled() {
			missing = append(missing, current)
		}
	}
	return missing
}
