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
	// repairInterval is the pause between two rounds of repair. Chosen, not measured.
	repairInterval = 400 * time.Millisecond
	// goneAfter is how long a member may be gone before its replicas are replaced:
	// longer than a restart with its data. Chosen, not measured.
	goneAfter = 20 * time.Second
	// replacedAfter is the same where a node stands ready that began about when the
	// member stopped answering. Chosen, not measured.
	replacedAfter = 500 * time.Millisecond
	// movesAtOnce bounds the sets that one plan changes. With two in place of eight,
	// what was earned while sets were copied was the same within noise (0.663 and 0.630
	// of what is owed, simulated day, one run each), and sets were whole later.
	movesAtOnce = 8
	// settle is how long the announced nodes must be unchanged before the first sets are
	// founded. Chosen, not measured.
	settle = 800 * time.Millisecond
	// patience is the same where they are too few for a whole set. Chosen, not measured.
	patience = 6 * time.Second
)

// buildRepair makes what keeps the replica sets whole.
func (n *Node) buildRepair() {
	plan := shard.PlanSettings{
		Factor: n.settings.ReplicationFactor(), GoneAfter: goneAfter, ReplacedAfter: replacedAfter, Moves: movesAtOnce,
	}
	driver := shard.NewDriver(n.self.Incarnation+"/"+uuid.NewString(), n.peers, n.views, register.SystemClock{},
		newRandom(), register.DefaultSettings(), n.logger)
	n.repair = repair.New(repair.Options{
		Maintainer: shard.NewMaintainer(n.self.Node, n.replica, n.installer, driver, plan, n.logger),
		Views:      n.views, Members: n.membership.Members, Settings: plan,
		Interval: repairInterval, Now: time.Now, Logger: n.logger,
	})
}

// buildDirectory makes what announces this node, founds the first sets, and carries out
// orders to empty this node.
func (n *Node) buildDirectory() {
	founding := directory.Settings{
		Shards: uint32(n.settings.Shards), Factor: n.settings.ReplicationFactor(), Settle: settle, Patience: patience,
	}
	views := func() *shard.Map { return n.views }
	n.keeper = directory.NewKeeper(n.self, n.parts.Objects, views, founding, time.Now, n.logger)
	n.lookup = directory.NewLookup(n.views, n.logger)
	n.lookup.OnFounded(n.keepShards)
	n.retirement = retirement.New(retirement.Options{
		Node: n.self.Node, Incarnation: n.self.Incarnation, Sets: heldSets{n.views, n.installer},
		SetLeaving: n.membership.SetLeaving, Reporter: n.parts.Reporter, Logger: n.logger,
	})
}

// heldSets implements retirement.Sets.
type heldSets struct {
	views     *shard.Map
	installer *shard.Installer
}

// Views implements retirement.Sets.
func (s heldSets) Views() []register.View { return s.views.Views() }

// Holds implements retirement.Sets.
func (s heldSets) Holds(ctx context.Context, view register.View) bool {
	return s.installer.AllHold(ctx, view)
}

// applyNodes records the announced storage nodes.
func (n *Node) applyNodes(snapshot follow.Snapshot) {
	nodes, _ := directory.DecodeNodes(snapshot)
	addresses := n.knownAddresses()
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	n.membership.SetSeeds(addresses)
	n.keeper.ApplyNodes(snapshot)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
