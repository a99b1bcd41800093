package node

import (
	"context"
	"strings"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/program"
)

// Nodes implements operator.Tables. It counts calls in this node's copies of
// records. Configuration versions are those last heard, 0 for none.
func (b *operatorBackend) Nodes(ctx context.Context) (operator.Listing[operator.NodeRow], error) {
	trees, incomplete, err := b.copies(ctx, func(tree *statev1.ProgramTree) bool { return dispatchedTo(tree, "") })
	listing := operator.Listing[operator.NodeRow]{Incomplete: incomplete}
	if incomplete != "" {
		listing.Incomplete = "calls: " + incomplete
	}
	calls := b.callsByNode(trees)
	versions := b.heardVersions()
	shards := b.shardsByIncarnation()
	members := b.node.membership.Members()
	var elsewhere []string
	for _, member := range members.All() {
		state := b.nodeState(member)
		if state == operator.StateDraining && member.Node != b.node.settings.Name {
			elsewhere = append(elsewhere, member.Node)
		}
		listing.Rows = append(listing.Rows, operator.NodeRow{
			Name:                 member.Node,
			Zone:                 member.Zone,
			State:                state,
			Incarnation:          member.Incarnation,
			Address:              member.Address,
			DataFolder:           member.HasDataFolder,
			ConfigurationVersion: versions[member.Node],
			Calls:                calls[member.Node],
			Shards:               shards[member.Incarnation],
			Age:                  b.now().Sub(member.Started),
			Version:              b.version(configuration.KindNode, member.Node),
		})
	}
	if len(elsewhere) > 0 {
		listing.Incomplete = "whether a node has drained is known there: " + strings.Join(elsewhere, ", ")
	}
	return listing, err
}

func (b *operatorBackend) callsByNode(trees []*statev1.ProgramTree) map[string]int {
	calls := make(map[string]int)
	for _, tree := range trees {
		for _, member := range tree.GetPrograms() {
			if running := program.Running(member); running != nil {
				calls[b.executorNode(running)]++
			}
		}
	}
	return calls
}

func (b *operatorBackend) heardVersions() map[string]uint64 {
	versions := make(map[string]uint64)
	for _, peer := range b.node.configurationMembers.Live() {
		versions[peer.Node] = peer.Version
	}
	versions[b.node.settings.Name] = b.node.holder.Version()
	return versions
}

func (b *operatorBackend) shardsByIncarnation() map[string]int {
	shards := make(map[string]int)
	for _, view := range b.node.views.Views() {
		for _, member := range view.Members {
			shards[member.Incarnation]++
		}
	}
	return shards
}

// nodeState returns the state of a node as operators see it. Only this node can be
// drained: copies of records may lack a call that another node runs.
func (b *operatorBackend) nodeState(member membership.Member) string {
	ordered, found := b.node.holder.Current().Node(member.Node)
	isSelf := member.Incarnation == b.node.replica.Incarnation()
	switch {
	case member.State == membership.Gone:
		return operator.StateGone
	case found && ordered.Draining && isSelf && b.node.callers.InFlight() == 0:
		return operator.StateDrained
	case found && ordered.Draining:
		return operator.StateDraining
	case member.Leaving:
		return operator.StateLeaving
	case member.State == membership.Suspect:
		return operator.StateSuspect
	}
	return operator.StateServing
}

// Shards implements operator.Tables. It counts programs in the shards of which this
// node has a replica.
func (b *operatorBackend) Shards(context.Context) (operator.Listing[operator.ShardRow], error) {
	var listing operator.Listing[operator.ShardRow]
	for _, view := range b.node.views.Views() {
		row, err := b.shardRow(view)
		if err != nil {
			return listing, err
		}
		listing.Rows = append(listing.Rows, row)
	}
	if b.node.replicatedShards() < len(listing.Rows) {
		listing.Incomplete = "programs of shards without a replica at node " + b.node.settings.Name
	}
	return listing, nil
}

func (b *operatorBackend) shardRow(view register.View) (operator.ShardRow, error) {
	row := operator.ShardRow{Shard: view.Shard, Epoch: view.Epoch}
	members := b.node.membership.Members()
	for _, member := range view.Members {
		row.Replicas = append(row.Replicas, member.Node)
		row.Zones = append(row.Zones, member.Zone)
		if members.Alive(member.Incarnation) {
			row.LiveReplicas++
		}
	}
	err := b.node.replica.EachRecord(view.Shard, func(string, []byte) error {
		row.Programs++
		return nil
	})
	return row, err
}
