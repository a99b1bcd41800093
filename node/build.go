package node

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/transport/nodepeer"
	"github.com/marblering/marblering/transport/peer"
)

// build makes the parts and returns the services to supervise. Listeners come
// first, since their addresses are part of what the node says of itself; their
// handlers are set once the parts behind them exist.
func (n *Node) build() ([]suture.Service, error) {
	var peerServer, callerServer, statements lateHandler
	if err := n.openListeners(&peerServer, &callerServer, operatorMux(n.monitoring(), &statements)); err != nil {
		return nil, err
	}
	peerMetrics := peer.NewMetrics(n.metrics)
	n.peers = nodepeer.NewClient(n.connections.client(endPeer), n.settings.PeerTimeout, peerMetrics)
	platform := objectapi.NewClient(n.settings.ObjectAPI, n.connections.client(endPlatform)).WithNodeName(n.settings.Name)
	engineClient := engineapi.NewClient(n.connections.client(endEngine))
	n.installer = shard.NewInstaller(n.replica, n.peers, n.logger)
	n.buildMembership()
	if err := n.buildConfiguration(platform); err != nil {
		return nil, errors.Join(err, n.closeListeners())
	}
	n.buildExecution(engineClient)
	n.repair = n.newRepair()
	callerMetrics := callerapi.NewMetrics(n.metrics)
	n.callers = n.newCallers(callerMetrics)
	peerServer.set(n.newPeerHandler(peerMetrics))
	callerServer.set(n.newCallerGate(callerMetrics))
	statements.set(n.operatorHandler(platform, n.newEngines(engineClient)))
	n.addReadinessChecks()
	return n.services(platform, engineClient), nil
}

// services returns what the node runs until it stops.
func (n *Node) services(platform *objectapi.Client, engineClient *engineapi.Client) []suture.Service {
	return []suture.Service{
		n.peerListener, n.callerListener, n.operatorListener,
		n.membership,
		n.fleet,
		n.limits,
		n.repair,
		n.agent,
		&configurationFollower{name: "orders", holder: n.holder, follow: n.followOrders},
		&configurationFollower{name: "announcements", holder: n.holder, follow: n.announceConfiguration},
		&configurationFollower{name: "engines", holder: n.holder, follow: n.followEngines},
		n.newMachineWatch(platform),
		n.newBootstrap(platform),
		n.newSweep(engineClient),
	}
}

func (n *Node) newPeerHandler(metrics *peer.Metrics) http.Handler {
	return nodepeer.NewHandler(n.replica, n.newConfiguredInstaller(), &peerNode{
		identity:   n.identity,
		membership: n.membership,
		executor:   n.executor,
		agent:      n.agent,
		limits:     n.limits,
	}, metrics)
}

func (n *Node) newCallers(metrics *callerapi.Metrics) *callerapi.Handler {
	return callerapi.New(callerapi.Options{
		Service:   configuredService{Service: n.executor, limits: catalog{n.holder}.limits, now: time.Now},
		Tenants:   catalog{n.holder},
		Logger:    n.logger,
		BodyLimit: int64(n.settings.RequestSizeLimit),
		Observer:  metrics,
	})
}

func (n *Node) newCallerGate(metrics *callerapi.Metrics) *callerGate {
	return &callerGate{
		handler:   n.callers,
		ready:     n.knowsDeployment,
		draining:  n.isOrderedToDrain,
		bodyLimit: catalog{n.holder}.bodyLimit,
		observer:  metrics,
	}
}

func (n *Node) newMachineWatch(platform *objectapi.Client) *machineWatch {
	return &machineWatch{
		platform:   platform,
		membership: n.membership,
		reads:      n.reads,
		timeout:    n.settings.ObjectAPITimeout,
		logger:     n.logger,
	}
}

func (n *Node) newBootstrap(platform *objectapi.Client) *bootstrap {
	return &bootstrap{
		platform:          platform,
		holder:            n.holder,
		members:           n.membership.Members,
		views:             n.views,
		shards:            uint32(n.settings.Shards),
		replicationFactor: n.settings.ReplicationFactor,
		timeout:           n.settings.ObjectAPITimeout,
		logger:            n.logger,
	}
}

func (n *Node) newSweep(engineClient *engineapi.Client) *sweep {
	return &sweep{
		interval:    sweepInterval,
		records:     n.records,
		executor:    n.executor,
		replica:     n.replica,
		mine:        n.prefers,
		now:         time.Now,
		defaults:    catalog{n.holder}.limits,
		logger:      n.logger,
		instruments: n.instruments,
		holds: &holdSweep{
			records:  n.records,
			fleet:    n.fleet,
			engines:  engineClient,
			peers:    n.peers,
			views:    &shardViews{n.views, n.holder},
			locate:   n.views.Locate,
			owns:     n.ownsEngine,
			now:      time.Now,
			random:   n.newRandom(),
			logger:   n.logger,
			released: n.instruments.releasedHolds,
			verified: make(map[string]map[string]time.Time),
		},
	}
}

// newRandom makes a source of its own for a part, which guards it.
func (n *Node) newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
