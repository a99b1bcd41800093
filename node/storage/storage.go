package storage

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/expiry"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/retirement"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/peer"
)

// Parts are what differs between deployments.
type Parts struct {
	// Objects and the sources are the directory's.
	Objects directory.Objects
	Nodes   follow.Source
	Sets    follow.Source
	// Configuration and Instances are mirrored for gateways that can't reach
	// the store.
	Configuration follow.Source
	Instances     follow.Source
	// Retirements are the orders to empty storage nodes.
	Retirements      follow.Source
	DecodeRetirement func(follow.Object) (retirement.Order, error)
	Reporter         retirement.Reporter
}

const (
	// peerTimeout bounds one request to another node. Chosen, not measured.
	peerTimeout = 2 * time.Second
	// collectInterval is the pause between two searches for turns that are over.
	// Chosen, not measured.
	collectInterval = 20 * time.Second
)

// Node is one running storage node.
type Node struct {
	settings settings.Storage
	parts    Parts
	logger   *zap.Logger

	// self is how other nodes know this one.
	self  register.Member
	peers *peer.Client

	// What is stored: the disk, the replica sets that this node knows, and its part in
	// them.
	store     *replica.Disk
	views     *shard.Map
	replica   *shard.Replica
	installer *shard.Installer
	collector *expiry.Collector

	// Who is in the replica sets.
	membership *membership.Service
	repair     *repair.Service
	keeper     *directory.Keeper
	lookup     *directory.Lookup
	retirement *retirement.Service

	// What gateways ask for.
	ledger  *tokenbudget.Ledger
	budgets *tokenbudget.Host
	quotas  *quota.Holder

	// What is mirrored of the store, and the storage nodes that it is followed through.
	mirror    *mirror.Holder
	upstreams *mirror.Holders

	metrics *prometheus.Registry
	// storeCalls counts by kind of objects what this node itself asks the store.
	storeCalls *prometheus.CounterVec
	// following is a logger for frequent events, with a bound on its lines.
	following *zap.Logger
}

// build makes the parts and returns the services to supervise.
func (n *Node) build() ([]suture.Service, error) {
	peerMetrics := peer.NewMetrics(n.metrics)
	n.registerDiskCounters()
	n.metrics.MustRegister(n.storeCalls)
	n.peers = peer.NewClient(peer.NewHTTPClient(), peerTimeout, peerMetrics)
	if err := n.buildReplica(); err != nil {
		return nil, err
	}
	n.buildMembership()
	n.buildRepair()
	n.buildDirectory()
	n.buildBudgets()
	var err error
	n.collector, err = expiry.New(expiry.Options{
		Store: n.store, Shards: n.views.Count, Interval: collectInterval, Now: time.Now, Logger: n.logger,
	})
	if err != nil {
		return nil, err
	}
	n.upstreams = mirror.NewHolders(n.listUpstreams, time.Now)
	n.mirror, err = mirror.NewHolder(mirror.Kinds(), n.store, time.Now, n.logger)
	if err != nil {
		return nil, err
	}
	listeners, err := n.listen(peerMetrics)
	if err != nil {
		return nil, err
	}
	return slices.Concat(listeners, n.services(), n.followers()), nil
}

// buildReplica makes this node's replica of what the disk has.
func (n *Node) buildReplica() error {
	n.self = register.Member{
		Node: n.settings.Name, Incarnation: n.store.Incarnation(),
		Address: n.settings.PeerListen.String(), Zone: n.settings.Zone,
	}
	var err error
	if n.views, err = n.newMap(); err != nil {
		return err
	}
	// Sets of the directory don't depend on the configuration, so that it has no version.
	noVersion := func() uint64 { return 0 }
	n.replica = shard.NewReplica(n.self.Incarnation, n.store, n.views, noVersion)
	n.installer = shard.NewInstaller(n.replica, n.peers, n.logger)
	return n.replica.Restore()
}

// listen opens the listeners for other nodes and for operators.
func (n *Node) listen(peerMetrics *peer.Metrics) ([]suture.Service, error) {
	handler := peer.NewStorageHandler(n.replica, n.installer, n.membership, n.budgets, n.quotas, n.mirror, peerMetrics)
	peers, err := listener.Open("peers", n.settings.PeerListen.String(), peer.NewHTTPServer(handler))
	if err != nil {
		return nil, err
	}
	operators, err := listener.Open("operators", n.settings.OperatorListen.String(), n.operatorServer())
	if err != nil {
		return nil, errors.Join(err, peers.Socket.Close())
	}
	return []suture.Service{peers, operators}, nil
}

// services returns the services that keep this node's state.
func (n *Node) services() []suture.Service {
	return []suture.Service{
		n.membership, n.repair, n.keeper, n.retirement, n.budgets, n.quotas, n.collector, n.mirror,
		telemetry.NewWorkload(n.metrics, workloadCounters, n.logger),
		collectorTuner{memoryLimit: uint64(n.settings.MemoryLimit)},
	}
}

// followers returns the services that follow what the store has.
func (n *Node) followers() []suture.Service {
	sets := n.seldom(mirror.KindSets, n.parts.Sets, n.applySets)
	return []suture.Service{
		n.seldom(mirror.KindNodes, n.parts.Nodes, n.applyNodes),
		sets, n.setsReader(sets),
		n.seldom(mirror.KindRetirements, n.parts.Retirements, n.retirement.Decode(n.parts.DecodeRetirement)),
		n.mirroring(mirror.KindConfiguration, n.parts.Configuration),
		n.mirroring(mirror.KindInstances, n.parts.Instances),
	}
}

// operatorServer serves metrics, health and readiness.
func (n *Node) operatorServer() *http.Server {
	readiness := telemetry.NewReadiness()
	readiness.Add("replicas", n.repair.Check)
	return &http.Server{Handler: telemetry.NewHandler(n.metrics, readiness), ReadHeaderTimeout: listener.HeaderTimeout}
}
