package node

import (
	"time"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/state/history"
)

const (
	// recentTrees is how many program trees the node keeps in memory beside the quorum's
	// records.
	recentTrees = 10000
	// historyCacheBytes bounds the history of programs in memory: 32 MB of the
	// 64 MB that a node may use (docs/CAPACITY.md).
	historyCacheBytes = 32 << 20
	// pollInterval is the pause between two polls of an engine by its owner. With
	// 9.1 engines a node, all of a node's control took 6.3 KB/s of the 9 that it
	// may (docs/design/control-budget.md).
	pollInterval = 1500 * time.Millisecond
	// maxQueue is the longest expected queueing before a call is shed.
	maxQueue = 2 * time.Minute
)

// buildExecution makes what runs calls: records, history, limits, the fleet of
// engines and the executor.
func (n *Node) buildExecution(engineClient *engineapi.Client) {
	views := &shardViews{Map: n.views, holder: n.holder}
	client := register.NewClient(n.identity, n.peers, views, register.SystemClock{}, n.newRandom(), register.DefaultSettings())
	n.records = record.NewStore(client, n.views.Locate, recentTrees)
	turns := archive.New(n.peers, views, n.views.Locate, history.NewCache(historyCacheBytes))
	n.limits = newLimits(n.holder, n.peers, n.owner, n.logger, n.instruments)
	n.fleet = n.newFleet(engineClient)
	limits := execution.DefaultLimits
	limits.CallTimeout = n.settings.CallTimeout
	n.executor = execution.New(execution.Options{
		Identity: n.identity,
		Address:  n.PeerAddress(),
		Records:  creationRecords{observedRecords{n.records, n.instruments}},
		Turns:    turns,
		Router:   observedRouter{n.fleet, n.instruments},
		Limiter:  n.limits,
		Engines:  n.newEngines(engineClient),
		Peers:    observedPeers{n.peers, n.instruments},
		Liveness: observedLiveness{liveness{n.membership.Members}, n.instruments},
		Catalog:  catalog{n.holder},
		Logger:   n.logger,
		Now:      time.Now,
		Random:   n.newRandom(),
		Limits:   limits,
	})
}

// newFleet makes the view of all engines, which chooses one for each call.
func (n *Node) newFleet(engineClient *engineapi.Client) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Zone:         n.settings.Zone,
		Reporter:     n.newEngines(engineClient),
		Weights:      catalog{n.holder}.weights,
		Now:          time.Now,
		Random:       n.newRandom(),
		Logger:       n.logger,
		Admitter:     n.limits,
		Owns:         n.ownsEngine,
		PollInterval: pollInterval,
		MaxQueue:     maxQueue,
		OnLeaving:    n.engineLeaving,
	})
}

// newEngines adapts the client of engines.
func (n *Node) newEngines(client *engineapi.Client) engines {
	return engines{
		client: client, takesWork: catalog{n.holder}.takesWork,
		silence: n.settings.EngineTimeout, instruments: n.instruments,
	}
}
