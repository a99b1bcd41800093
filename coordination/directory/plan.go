package directory

import (
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// Situation is what one storage node knows.
type Situation struct {
	Now  time.Time
	Self register.Member
	// Nodes are the announced storage nodes; NodesKnown is set once they were
	// listed, NodesChanged is when they last changed.
	Nodes        []register.Member
	NodesKnown   bool
	NodesChanged time.Time
	// Published are the sets in the store; nil before they were founded.
	// SetsKnown is set once the store was asked.
	Published *Published
	SetsKnown bool
	// Views are the open views that this node knows.
	Views []register.View
}

// Settings say how sets are founded.
type Settings struct {
	// Shards is how many shards there are at least.
	Shards uint32
	// Factor is how many members a set has.
	Factor int
	// Settle is how long the announced nodes must have stood before the sets are
	// founded.
	Settle time.Duration
	// Patience is how long it is waited for Factor nodes before fewer do.
	Patience time.Duration
}

// Action is what the node should do.
type Action int

// Actions.
const (
	// None waits.
	None Action = iota
	// Announce writes this node's object.
	Announce
	// Found creates the sets.
	Found
	// Publish replaces the sets in the store by what this node knows.
	Publish
)

// Plan decides what to do next and, for Found and Publish, the sets to write.
// It is a pure function.
func Plan(situation Situation, settings Settings) (Action, Sets) {
	if situation.NodesKnown && !slices.Contains(situation.Nodes, situation.Self) {
		return Announce, Sets{}
	}
	if !situation.SetsKnown {
		return None, Sets{}
	}
	if situation.Published != nil {
		return planPublish(situation)
	}
	standing := situation.Now.Sub(situation.NodesChanged)
	enough := len(situation.Nodes) >= settings.Factor && standing >= settings.Settle
	if enough || len(situation.Nodes) > 0 && standing >= settings.Patience {
		return Found, firstSets(situation.Nodes, settings)
	}
	return None, Sets{}
}

// setsPerNode is in how many sets a node is at least, on average. With fewer, some
// nodes have nothing to do while others have too much: of 36 nodes 20 were in the 4
// sets of 5 members that there were, and these had no room for programs that began
// in a burst, at 0.2 of 0.27 cores.
const setsPerNode = 2

// shardsFor returns how many shards so many nodes share.
func shardsFor(nodes int, settings Settings) uint32 {
	wanted := (setsPerNode*nodes + settings.Factor - 1) / settings.Factor
	return max(settings.Shards, uint32(wanted))
}

func firstSets(nodes []register.Member, settings Settings) Sets {
	candidates := make([]shard.Candidate, 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, shard.Candidate{Member: node, HasDataFolder: true})
	}
	sets := Sets{Shards: shardsFor(len(candidates), settings)}
	for number, members := range shard.AssignAll(sets.Shards, settings.Factor, candidates) {
		sets.Views = append(sets.Views, register.View{Shard: uint32(number), Epoch: shard.FirstEpoch, Members: members})
	}
	return sets
}

// planPublish writes the newest view of each shard where the store has an older
// one.
func planPublish(situation Situation) (Action, Sets) {
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
