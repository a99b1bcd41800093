package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/register"
)

// probeProgram is asked for to learn whether a member holds a shard; no program
// has this id.
const probeProgram = "!probe"

// Sweep drops the data of the shards that are open without this replica, once
// every member of the open view says that it holds the shard. Until then the
// data may be needed to bring a member in.
func (i *Installer) Sweep(ctx context.Context) error {
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

// AllHold asks the members whether they hold the data of the view.
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

// isUnneeded tells whether data is held of a shard whose newest decided view is
// open and has other members.
func (r *Replica) isUnneeded(view register.View) (bool, error) {
	p, err := r.acquire(view.Shard)
	if err != nil {
		return false, err
	}
	defer p.mutex.RUnlock()
	return p.state.isUnneeded(r, view), nil
}

func (s shardState) isUnneeded(r *Replica, view register.View) bool {
	return s.DataEpoch > 0 && s.View.Epoch == view.Epoch && !r.isMember(view)
}

// dropShard forgets the shard, unless a newer view has been decided meanwhile.
func (r *Replica) dropShard(view register.View) error {
	p, err := r.acquire(view.Shard)
	if err != nil {
		return err
	}
	p.mutex.RUnlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.state.isUnneeded(r, view) {
		return nil
	}
	next := p.state
	next.DataEpoch = 0
	if err := r.setState(view.Shard, p, next); err != nil {
		return err
	}
	return r.store.DropShard(view.Shard)
}
