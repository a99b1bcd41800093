package node

import (
	"time"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// repairInterval is the pause between two rounds of the maintainer.
	repairInterval = time.Second
	// goneGrace is how long a node must have been gone, beyond the time that it took to
	// find that out, before its replicas are replaced.
	goneGrace = 5 * time.Second
	// movesAtOnce bounds how many replica sets change at a time.
	movesAtOnce = 8
)

// newRepair makes the service that keeps replica sets whole.
func (n *Node) newRepair() *repair.Service {
	driver := shard.NewDriver(n.identity, n.peers, n.views, register.SystemClock{}, n.newRandom(), register.DefaultSettings(), n.logger)
	settings := shard.PlanSettings{
		ReplicationFactor: n.settings.ReplicationFactor,
		ReplaceAfter:      goneGrace,
		MaxMoves:          movesAtOnce,
	}
	return repair.New(repair.Options{
		Maintainer: shard.NewMaintainer(n.settings.Name, n.replica, n.installer, driver, settings, n.logger),
		Views:      n.views,
		Members:    n.membership.Members,
		Settings:   settings,
		Interval:   repairInterval,
		Now:        time.Now,
		Logger:     n.logger,
	})
}
