package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/retirement"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// repairInterval is the interval between two rounds of repair.
	repairInterval = 400 * time.Millisecond
	// replaceAfter is how long a member may be gone before its replicas are replaced.
	// It is longer than a restart of the node.
	replaceAfter = 20 * time.Second
	// replaceAfterStandby is the same if there is a standby node that started at about the
	// time when the member stopped answering, or later.
	replaceAfterStandby = 500 * time.Millisecond
	// maxMovesPerPlan is the maximum number of replica sets that one repair plan changes. A
	// lower one doesn't serve more requests meanwhile, and sets are whole later.
	maxMovesPerPlan = 8
	// bootstrapDelay is how long the announced nodes must be unchanged before the first
	// replica sets are created.
	bootstrapDelay = 800 * time.Millisecond
	// degradedBootstrapDelay is the same if there are fewer nodes than the replication
	// factor.
	degradedBootstrapDelay = 6 * time.Second
)

// buildRepair creates the service that repairs the replica sets.
func (n *Node) buildRepair() {
	plan := shard.PlanSettings{
		ReplicationFactor: n.settings.ReplicationFactor(), ReplaceAfter: replaceAfter, ReplaceAfterStandby: replaceAfterStandby, MaxMoves: maxMovesPerPlan,
	}
	driver := shard.NewDriver(n.self.Incarnation+"/"+uuid.NewString(), n.peers, n.views, register.SystemClock{},
		newRandom(), register.DefaultSettings(), n.logger)
	n.repair = repair.New(repair.Options{
		Maintainer: shard.NewMaintainer(n.self.Node, n.replica, n.installer, driver, plan, n.logger),
		Views:      n.views, Members: n.membership.Members, Settings: plan,
		Interval: repairInterval, Now: time.Now, Logger: n.logger,
	})
}

// buildDirectory creates the services that announce this node, create the first replica
// sets, and carry out orders to empty this node.
func (n *Node) buildDirectory() {
	bootstrap := directory.Settings{
		Shards: uint32(n.settings.Shards), Factor: n.settings.ReplicationFactor(), StableFor: bootstrapDelay, DegradedAfter: degradedBootstrapDelay,
	}
	views := func() *shard.Map { return n.views }
	n.directoryWriter = directory.NewWriter(n.self, n.parts.DirectoryObjects, views, bootstrap, time.Now, n.logger)
	n.lookup = directory.NewLookup(n.views, n.logger)
	n.lookup.OnShardCount(n.saveShardCount)
	n.retirement = retirement.New(retirement.Options{
		Node: n.self.Node, Incarnation: n.self.Incarnation, Sets: heldSets{n.views, n.installer},
		SetLeaving: n.membership.SetLeaving, Reporter: n.parts.Reporter, Logger: n.logger,
	})
}

// heldSets implements retirement.Sets with the replica sets that this node knows.
type heldSets struct {
	views     *shard.Map
	installer *shard.Installer
}

// Shards returns the number of replica sets; zero if it is unknown.
func (s heldSets) Shards() uint32 { return s.views.Count() }

// Views returns the newest known view of each replica set.
func (s heldSets) Views() []register.View { return s.views.Views() }

// HoldsAllData reports whether every member of the view holds all of its data.
func (s heldSets) HoldsAllData(ctx context.Context, view register.View) bool {
	return s.installer.AllHold(ctx, view)
}

// applyNodes updates the announced storage nodes, which also serve as gossip seeds.
func (n *Node) applyNodes(snapshot follow.Snapshot) {
	nodes, _ := directory.DecodeNodes(snapshot)
	addresses := n.knownAddresses()
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	n.membership.SetSeeds(addresses)
	n.directoryWriter.ApplyNodes(snapshot)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
