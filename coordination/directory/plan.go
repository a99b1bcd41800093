package directory

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// PlanInput is what a storage node knows when it plans.
type PlanInput struct {
	Now  time.Time
	Self register.Member
	// Nodes are the announced storage nodes. NodesKnown is set once they were listed;
	// NodesChanged is when they last changed.
	Nodes          []register.Member
	NodesListed    bool
	NodesChangedAt time.Time
	// Published are the sets in the store; nil before they were founded.
	// SetsKnown is set once the store was asked.
	Published  *PublishedSets
	SetsListed bool
	// Views are the open views that this node knows.
	Views []register.View
}

// Settings say how sets are founded.
type Settings struct {
	// Shards is the least number of shards.
	Shards uint32
	// Factor is the number of members of a set.
	Factor int
	// Settle is how long the announced nodes must be unchanged before the sets are
	// founded.
	Settle time.Duration
	// Patience is how long the announced nodes must be unchanged before the sets are
	// founded with fewer than Factor nodes.
	Patience time.Duration
}

// Action is what a storage node is to write.
type Action int

// Actions.
const (
	// None waits.
	None Action = iota
	// Announce writes this node's object.
	Announce
	// Bootstrap creates the sets.
	Bootstrap
	// Publish replaces the sets in the store by what this node knows.
	Publish
)

// Plan decides what a storage node writes next and, for Found and Publish, the sets:
//
//   - Announce, while the listed nodes lack this one: it is new, or was replaced.
//   - Found, where the store has no sets, once the announced nodes are enough for a set
//     and have been unchanged for Settle, or are fewer and unchanged for Patience. Sets
//     that are founded too early leave later nodes without work.
//   - Publish, where this node knows a newer view of a shard than the store has.
//   - None otherwise, and before both nodes and sets were listed.
//
// It has no I/O and no clock of its own.
func Plan(situation PlanInput, settings Settings) (Action, Sets) {
	if situation.NodesListed && !slices.Contains(situation.Nodes, situation.Self) {
		return Announce, Sets{}
	}
	if !situation.SetsListed {
		return None, Sets{}
	}
	if situation.Published != nil {
		return planPublish(situation)
	}
	standing := situation.Now.Sub(situation.NodesChangedAt)
	enough := len(situation.Nodes) >= settings.Factor && standing >= settings.Settle
	if enough || len(situation.Nodes) > 0 && standing >= settings.Patience {
		return Bootstrap, initialSets(situation.Nodes, settings)
	}
	return None, Sets{}
}

// minSetsPerNode is the least number of sets that a node is a member of, on average. With
// fewer, some nodes have no work while others have too much: with 4 sets of 5 members on
// 36 nodes, 730 requests were refused without a quorum, 553 of them for want of room at
// the 20 nodes in the sets; with 15 sets it was 18 (simulated day of high load, one run
// each).
const minSetsPerNode = 2

// shardCount returns the number of shards for a number of storage nodes.
func shardCount(nodes int, settings Settings) uint32 {
	wanted := (minSetsPerNode*nodes + settings.Factor - 1) / settings.Factor
	return max(settings.Shards, uint32(wanted))
}

// initialSets spreads the shards over the nodes.
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

// planPublish merges the views that this node knows into those of the store, and
// publishes them where one is newer.
func planPublish(situation PlanInput) (Action, Sets) {
	merged := Sets{Shards: situation.Published.Sets.Shards, Views: slices.Clone(situation.Published.Sets.Views)}
	newer := false
	for _, view := range situation.Views {
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
