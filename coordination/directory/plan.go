package directory

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// PlanInput is the state on which a storage node bases its plan.
type PlanInput struct {
	Now  time.Time
	Self register.Member
	// Nodes are the announced storage nodes. NodesListed is set after the first listing;
	// NodesChangedAt is when they last changed.
	Nodes          []register.Member
	NodesListed    bool
	NodesChangedAt time.Time
	// Published are the sets in the store; nil before they were created.
	// SetsListed is set after the first listing.
	Published  *PublishedSets
	SetsListed bool
	// Views are the open views known to this node.
	Views []register.View
}

// Settings controls how the initial sets are created.
type Settings struct {
	// Shards is the minimum number of shards.
	Shards uint32
	// Factor is the replication factor.
	Factor int
	// StableFor is how long the announced nodes must be unchanged before the sets are
	// created.
	StableFor time.Duration
	// DegradedAfter is how long the announced nodes must be unchanged before the sets are
	// created with fewer than Factor nodes.
	DegradedAfter time.Duration
}

// Action is the next write of a storage node.
type Action int

// Actions.
const (
	// None writes nothing.
	None Action = iota
	// Announce writes this node's object.
	Announce
	// Bootstrap creates the sets.
	Bootstrap
	// Publish updates the sets in the store from the views known to this node.
	Publish
)

// Plan decides what a storage node writes next and, for Bootstrap and Publish, the sets:
//
//   - Announce, while the listed nodes lack this one, because it is new or was replaced.
//   - Bootstrap, if the store has no sets, once at least Factor nodes have been unchanged
//     for StableFor, or fewer for DegradedAfter. Sets created too early would leave nodes that
//     start later without work.
//   - Publish, if this node knows a newer view of a shard than the store has.
//   - None otherwise, and before both nodes and sets were listed.
//
// It is a pure function.
func Plan(input PlanInput, settings Settings) (Action, Sets) {
	if input.NodesListed && !slices.Contains(input.Nodes, input.Self) {
		return Announce, Sets{}
	}
	if !input.SetsListed {
		return None, Sets{}
	}
	if input.Published != nil {
		return planPublish(input)
	}
	stableFor := input.Now.Sub(input.NodesChangedAt)
	isEnough := len(input.Nodes) >= settings.Factor && stableFor >= settings.StableFor
	if isEnough || len(input.Nodes) > 0 && stableFor >= settings.DegradedAfter {
		return Bootstrap, initialSets(input.Nodes, settings)
	}
	return None, Sets{}
}

// minSetsPerNode is the minimum average number of sets that a node is a member of. With
// fewer, some nodes would be idle while others are overloaded: on 36 nodes 730 requests
// were refused without a quorum with 4 sets of 5 members, and 18 with 15 sets.
const minSetsPerNode = 2

// shardCount returns the number of shards for the given number of storage nodes.
func shardCount(nodes int, settings Settings) uint32 {
	wanted := (minSetsPerNode*nodes + settings.Factor - 1) / settings.Factor
	return max(settings.Shards, uint32(wanted))
}

// initialSets assigns the shards to the nodes.
func initialSets(nodes []register.Member, settings Settings) Sets {
	candidates := make([]shard.Candidate, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, shard.Candidate{Member: node, HasDataFolder: true})
	}
	sets := Sets{Shards: shardCount(len(candidates), settings)}
	for number, members := range shard.AssignAll(sets.Shards, settings.Factor, candidates) {
		sets.Views = append(sets.Views, register.View{Shard: uint32(number), Epoch: shard.FirstEpoch, Members: members})
	}
	return sets
}

// planPublish merges the views known to this node into those of the store, and plans to
// publish the result if any of them is newer.
func planPublish(input PlanInput) (Action, Sets) {
	merged := Sets{Shards: input.Published.Sets.Shards, Views: slices.Clone(input.Published.Sets.Views)}
	newer := false
	for _, view := range input.Views {
		index := slices.IndexFunc(merged.Views, func(known register.View) bool { return known.Shard == view.Shard })
		switch {
		case index < 0:
			merged.Views = append(merged.Views, view)
			newer = true
		case merged.Views[index].Epoch < view.Epoch:
			merged.Views[index] = view
			newer = true
		}
	}
	if !newer {
		return None, Sets{}
	}
	return Publish, merged
}
