package storage

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/antientropy"
	"github.com/marblering/marblering/coordination/directory"
	"github.com/marblering/marblering/coordination/expiry"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/retirement"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/streamorigin"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/peer"
)

// Dependencies connect a storage node to the store of a deployment.
type Dependencies struct {
	// DirectoryObjects, Nodes and Sets give access to the objects of the directory.
	DirectoryObjects directory.Objects
	Nodes            follow.Source
	ReplicaSets      follow.Source
	// Configuration and Instances are the sources of the objects that are mirrored for
	// gateways.
	Configuration follow.Source
	Instances     follow.Source
	// DecodeRetentions returns how long turns are stored, by route, and false if the snapshot
	// contains no configuration.
	DecodeRetentions func(follow.Snapshot) (byRoute map[string]time.Duration, found bool, err error)
	// Retirements is the source of the orders to empty storage nodes.
	Retirements      follow.Source
	DecodeRetirement func(follow.Object) (retirement.Order, error)
	Reporter         retirement.Reporter
}

const (
	// peerTimeout limits one request to another node.
	peerTimeout = 2 * time.Second
	// expiryInterval is the interval between two searches for expired turns.
	expiryInterval = 20 * time.Second
)

// Node is a running storage node.
type Node struct {
	settings settings.Storage
	parts    Dependencies
	logger   *zap.Logger

	// self describes this node as a member of replica sets.
	self  register.Member
	peers *peer.Client
	// handler serves the requests of other nodes.
	handler *peer.StorageHandler

	// Stored data: the disk, the known replica sets, and this node's replicas.
	disk *replica.Disk
	// turns is the disk with the times until which turns are needed.
	turns *expiry.Store
	// antiEntropy completes the chains of the turns on the disk.
	antiEntropy *antientropy.Service
	views       *shard.Map
	replica     *shard.Replica
	installer   *shard.Installer

	// Membership of nodes and of replica sets.
	membership      *membership.Service
	repair          *repair.Service
	directoryWriter *directory.Writer
	lookup          *directory.Lookup
	retirement      *retirement.Service

	// Budgets, origins of streams, quotas and crashes under requests for gateways.
	ledger  *tokenbudget.Ledger
	budgets *tokenbudget.Host
	origins *streamorigin.Table
	quotas  *quota.Holder
	crashes *quarantine.Table

	// Mirrored objects of the store, and the upstream storage nodes through which this
	// node follows the store.
	mirror    *mirror.Holder
	upstreams *mirror.HolderSelector

	metrics *prometheus.Registry
	// storeCalls counts the direct calls at the store by kind of objects.
	storeCalls *prometheus.CounterVec
	// limitedLogger is a rate-limited logger for frequent events.
	limitedLogger *zap.Logger
}

// build creates the components of the node and returns the services to supervise.
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
	n.crashes = quarantine.NewTable(rand.Uint64(), time.Now, n.logQuarantine)
	n.upstreams = mirror.NewHolderSelector(n.listUpstreams, time.Now)
	var err error
	n.mirror, err = mirror.NewHolder(mirror.PersistedKinds(), n.disk, time.Now, n.logger)
	if err != nil {
		return nil, err
	}
	listeners, err := n.listen(peerMetrics)
	if err != nil {
		return nil, err
	}
	return slices.Concat(listeners, n.services(), n.followers()), nil
}

// buildReplica creates this node's replica from the data on the disk.
func (n *Node) buildReplica() error {
	n.self = register.Member{
		Node: n.settings.Name, Incarnation: n.disk.Incarnation(),
		Address: n.settings.PeerListen.String(), Zone: n.settings.Zone,
	}
	var err error
	if n.views, err = n.loadShardMap(); err != nil {
		return err
	}
	if n.turns, err = expiry.NewStore(expiry.Options{Store: n.disk, Shards: n.views.Count, Now: time.Now, Logger: n.logger}); err != nil {
		return err
	}
	// Replica sets of the directory don't depend on a version of the configuration.
	noVersion := func() uint64 { return 0 }
	n.replica = shard.NewReplica(n.self.Incarnation, n.turns, n.views, noVersion)
	n.replica.LogCopies(n.logger)
	n.metrics.MustRegister(NewShardMetrics(n.replica))
	n.antiEntropy, err = antientropy.New(antientropy.Options{
		Incarnation: n.self.Incarnation, Chains: n.turns, Writer: n.replica, Reader: n.peers, Views: n.views,
		Interval: antientropy.DefaultInterval, Now: time.Now, Logger: n.logger,
	})
	if err != nil {
		return err
	}
	n.installer = shard.NewInstaller(n.replica, n.replica.ObserveSource(n.peers), n.logger)
	return n.replica.Restore()
}

// listen opens the listeners for other nodes and for operators.
func (n *Node) listen(peerMetrics *peer.Metrics) ([]suture.Service, error) {
	n.handler = peer.NewStorageHandler(n.replica, n.installer, n.membership, n.budgets, n.origins, n.quotas, n.crashes, n.mirror, peerMetrics)
	peers, err := listener.Open("peers", n.settings.PeerListen.String(), peer.NewHTTPServer(n.handler))
	if err != nil {
		return nil, err
	}
	operators, err := listener.Open("operators", n.settings.OperatorListen.String(), n.operatorServer())
	if err != nil {
		return nil, errors.Join(err, peers.Socket.Close())
	}
	return []suture.Service{peers, operators}, nil
}

// services returns the services that maintain this node's state.
func (n *Node) services() []suture.Service {
	return []suture.Service{
		n.membership, n.repair, n.directoryWriter, n.retirement, n.budgets, n.quotas, n.mirror, n.antiEntropy,
		expiry.NewCollector(n.turns, expiryInterval, n.logger),
		telemetry.NewWorkload(n.metrics, workloadCounters, n.logger),
		gcTuner{memoryLimit: uint64(n.settings.MemoryLimit)},
	}
}

// followers returns the services that follow the objects of the store.
func (n *Node) followers() []suture.Service {
	sets := n.newRelaxedFollower(mirror.KindReplicaSets, n.parts.ReplicaSets, n.applySets)
	return []suture.Service{
		n.newRelaxedFollower(mirror.KindNodes, n.parts.Nodes, n.applyNodes),
		sets, n.newSetsReader(sets),
		n.newRelaxedFollower(mirror.KindRetirements, n.parts.Retirements, n.retirement.Decoder(n.parts.DecodeRetirement)),
		n.newBoundedFollower(mirror.KindConfiguration, n.parts.Configuration, n.applyRetentions),
		n.newBoundedFollower(mirror.KindInstances, n.parts.Instances, func(follow.Snapshot) {}),
	}
}

// applyRetentions applies the retentions of the routes in a configuration.
func (n *Node) applyRetentions(snapshot follow.Snapshot) {
	byRoute, found, err := n.parts.DecodeRetentions(snapshot)
	if err != nil {
		n.logger.Error("retentions of an invalid configuration ignored", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	if found {
		n.turns.SetRetentions(byRoute)
	}
}

// operatorServer returns the HTTP server for metrics, health, readiness, the shards and the quarantine.
func (n *Node) operatorServer() *http.Server {
	readiness := telemetry.NewReadiness()
	readiness.Add("replicas", n.repair.Check)
	handler := n.withQuarantine(withShards(n.replica, telemetry.NewHandler(n.metrics, readiness)))
	return &http.Server{Handler: handler, ReadHeaderTimeout: listener.HeaderTimeout}
}
