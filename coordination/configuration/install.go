package configuration

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// install gives the configuration to the members of the replica sets until a
// majority of every set has it. It returns the version that was installed.
func (a *Acceptor) install(ctx context.Context, change Change, version uint64) (uint64, error) {
	for pause := retryPauseFirst; ; pause = min(2*pause, retryPauseLast) {
		installed := a.agent.holder.Version()
		sets := a.replicaSets(change)
		round := newInstallation(installed, sets)
		a.installRound(ctx, round)
		if round.done() && a.hasSets(sets) {
			return installed, nil
		}
		if err := a.sleep(ctx, pause); err != nil {
			return 0, notInForce(change.Key, version,
				"too few replicas of the shards %v have installed it", round.lacking())
		}
	}
}

// replicaSets returns the present sets. Only the shard map that is being
// created tells them before the shards do.
func (a *Acceptor) replicaSets(change Change) ReplicaSets {
	sets := a.agent.members.ReplicaSets()
	shards, found := a.agent.holder.Current().ShardMap()
	if len(sets.Sets) == 0 && found && change.Kind == KindShardMap {
		return setsOf(shards)
	}
	return sets
}

// hasSets tells whether the sets can be counted on: once there is a shard map
// there must be some.
func (a *Acceptor) hasSets(sets ReplicaSets) bool {
	_, mapped := a.agent.holder.Current().ShardMap()
	return len(sets.Sets) > 0 || !mapped
}

// installRound asks each missing member once, and stops as soon as there are
// enough.
func (a *Acceptor) installRound(ctx context.Context, round *installation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(a.agent.settings.Parallel)
	for _, member := range round.missing() {
		ask := func() error {
			answer, err := a.agent.installAt(ctx, member, round.version)
			if err != nil {
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			round.acknowledge(member, answer)
			if round.done() {
				cancel()
			}
			return nil
		}
		if a.agent.settings.Parallel == 1 {
			_ = ask()
			continue
		}
		group.Go(ask)
	}
	_ = group.Wait()
}

// installAt gives a member what it lacks. The first try goes by what the member
// was last heard to have, the second by what it says.
func (a *Agent) installAt(ctx context.Context, member Member, version uint64) (InstallResult, error) {
	if member.Node == a.members.Self().Node {
		return a.Install(Update{})
	}
	ctx, cancel := context.WithTimeout(ctx, a.settings.PeerTimeout)
	defer cancel()
	answer, err := a.peers.Install(ctx, member, a.Fetch(a.heardVersion(member, version)))
	if err != nil || answer.Version >= version || answer.Incarnation != member.Incarnation {
		return answer, err
	}
	return a.peers.Install(ctx, member, a.Fetch(answer.Version))
}

// heardVersion is the version that the member is believed to have, at least
// the one before the given.
func (a *Agent) heardVersion(member Member, version uint64) uint64 {
	for _, peer := range a.members.Live() {
		if peer.Incarnation == member.Incarnation && peer.Version > 0 {
			return min(peer.Version, version-1)
		}
	}
	return version - 1
}
