// Package storage builds the daemon of a machine with a disk: it keeps replicas
// of the programs' records and turns, finds the other storage nodes through the
// directory and gossip, and keeps the replica sets whole. What the store of a
// deployment looks like is given to it as Parts.
package storage

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
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
	"github.com/marblering/marblering/coordination/sleep"
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
	// memoryPart of the limit is where the garbage collector works harder.
	memoryPart  = 0.8
	peerTimeout = 2 * time.Second
	// flushTimeout bounds the return of reserves at a planned stop.
	flushTimeout = time.Second
	// failureInterval is the pause between two looks at the store, restartPause
	// the one before it is opened anew.
	failureInterval = 250 * time.Millisecond
	restartPause    = 700 * time.Millisecond
	// collectInterval is the pause between two looks for turns that are over.
	collectInterval = 20 * time.Second
	// repairInterval is the pause between two rounds of repair.
	repairInterval = 400 * time.Millisecond
	// goneAfter and replacedAfter are how long a member may be gone before its
	// replicas are replaced, without and with a node that stands in for it.
	goneAfter     = 20 * time.Second
	replacedAfter = 500 * time.Millisecond
	movesAtOnce   = 8
	// settle and patience say when the first sets are founded.
	settle   = 800 * time.Millisecond
	patience = 6 * time.Second
)

// Node is one running storage node.
type Node struct {
	settings settings.Storage
	parts    Parts
	logger   *zap.Logger

	store      *replica.Disk
	views      *shard.Map
	replica    *shard.Replica
	installer  *shard.Installer
	membership *membership.Service
	repair     *repair.Service
	keeper     *directory.Keeper
	lookup     *directory.Lookup
	retirement *retirement.Service
	ledger     *tokenbudget.Ledger
	budgets    *tokenbudget.Host
	quotas     *quota.Holder
	mirror     *mirror.Holder
	upstreams  *mirror.Holders
	metrics    *prometheus.Registry
	// storeCalls counts by kind of objects what this node itself asks the store.
	storeCalls *prometheus.CounterVec
	// following logs which storage nodes are followed, within bounds.
	following *zap.Logger
	peers     *peer.Client
	self      register.Member
}

// errStoreFailed ends one run of the node whose disk refused a write.
var errStoreFailed = errors.New("the replica store takes no writes any more")

// Run runs a storage node until the context ends. Where its disk refuses a write,
// it opens and verifies the data anew, as after a restart, until the disk takes
// writes again.
func Run(ctx context.Context, loaded settings.Storage, parts Parts, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(loaded.MemoryLimit)))
	for {
		err := runOnce(ctx, loaded, parts, logger)
		if !errors.Is(err, errStoreFailed) {
			return err
		}
		logger.Error("disk refused a write, opening the data again", zap.Error(err))
		if sleep.For(ctx, restartPause) != nil {
			return nil
		}
	}
}

// runOnce runs the node until the context ends or its store has failed.
func runOnce(ctx context.Context, loaded settings.Storage, parts Parts, logger *zap.Logger) error {
	began := time.Now()
	store, err := replica.OpenDisk(loaded.DataFolder)
	if err != nil {
		return err
	}
	if damage := store.Damage(); damage != nil {
		logger.Error("replica data was damaged and is set aside", zap.Error(damage))
	}
	n := &Node{
		settings: loaded, parts: parts, logger: logger, store: store,
		metrics: telemetry.NewRegistry(), storeCalls: telemetry.NewStoreCalls(),
		following: telemetry.Following(logger),
	}
	services, err := n.build()
	if err != nil {
		return errors.Join(err, store.Close())
	}
	supervisor := suture.New("storage", suture.Spec{EventHook: func(event suture.Event) {
		logger.Warn("supervisor event", zap.String("event", event.String()))
	}})
	for _, service := range services {
		supervisor.Add(service)
	}
	logger.Info("started", zap.String("incarnation", store.Incarnation()), zap.String("peer_address", n.self.Address),
		zap.Int("sets_known", len(n.views.Views())), zap.Duration("opening_took", time.Since(began)))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	stopped := supervisor.ServeBackground(running)
	failure := n.await(ctx)
	if failure == nil {
		n.flush()
	}
	stop()
	<-stopped
	n.peers.Close()
	err = errors.Join(failure, store.Close())
	logger.Info("stopped", zap.Error(err))
	return err
}

// await returns nil when the context ends, and an error once the store failed.
func (n *Node) await(ctx context.Context) error {
	ticker := time.NewTicker(failureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if failure := n.store.Failure(); failure != nil {
				return merry.Wrap(errStoreFailed, merry.WithCause(failure), merry.AppendMessagef("%v", failure))
			}
		}
	}
}

// flush gives slots of quotas and reserves back while the other nodes still hear this one.
func (n *Node) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	n.quotas.Release(ctx)
	n.ledger.Flush(ctx)
}

// build makes the parts and returns the services to supervise.
func (n *Node) build() ([]suture.Service, error) {
	n.self = register.Member{
		Node: n.settings.Name, Incarnation: n.store.Incarnation(),
		Address: n.settings.PeerListen.String(), Zone: n.settings.Zone,
	}
	var err error
	if n.views, err = n.newMap(); err != nil {
		return nil, err
	}
	n.replica = shard.NewReplica(n.self.Incarnation, n.store, n.views, func() uint64 { return 0 })
	if err := n.replica.Restore(); err != nil {
		return nil, err
	}
	peerMetrics := peer.NewMetrics(n.metrics)
	n.registerDiskCounters()
	n.metrics.MustRegister(n.storeCalls)
	n.peers = peer.NewClient(peer.NewHTTPClient(), peerTimeout, peerMetrics)
	n.installer = shard.NewInstaller(n.replica, n.peers, n.logger)
	n.buildMembership()
	n.buildRepair()
	n.buildDirectory()
	n.buildBudgets()
	collector, err := expiry.New(expiry.Options{
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
	peers, err := listener.Open("peers", n.settings.PeerListen.String(),
		peer.NewHTTPServer(peer.NewStorageHandler(n.replica, n.installer, n.membership, n.budgets, n.quotas, n.mirror, peerMetrics)))
	if err != nil {
		return nil, err
	}
	operators, err := listener.Open("operators", n.settings.OperatorListen.String(), n.operatorServer())
	if err != nil {
		return nil, errors.Join(err, peers.Socket.Close())
	}
	sets := n.seldom(mirror.KindSets, n.parts.Sets, n.applySets)
	return []suture.Service{
		peers, operators, n.membership, n.repair, n.keeper, n.retirement, n.budgets, n.quotas, collector, n.mirror,
		telemetry.NewWorkload(n.metrics, workloadCounters, n.logger), collectorTuner{memoryLimit: uint64(n.settings.MemoryLimit)},
		n.seldom(mirror.KindNodes, n.parts.Nodes, n.applyNodes),
		sets, n.setsReader(sets),
		n.seldom(mirror.KindRetirements, n.parts.Retirements, n.retirement.Decode(n.parts.DecodeRetirement)),
		n.mirroring(mirror.KindConfiguration, n.parts.Configuration),
		n.mirroring(mirror.KindInstances, n.parts.Instances),
	}, nil
}

func (n *Node) buildMembership() {
	now := time.Now()
	identity := membership.Identity{
		Node: n.self.Node, Incarnation: n.self.Incarnation, Address: n.self.Address, Zone: n.self.Zone,
		HasDataFolder: true, Started: now,
	}
	gossip := membership.New(gossipSettings(), identity, n.knownAddresses(), newRandom(), now)
	n.membership = membership.NewService(gossip, membership.Options{
		Exchanger: n.peers, Now: time.Now, Logger: n.logger, Shards: peer.NewViewGossip(n.views),
	})
}

// gossipSettings notice a failed node within two seconds: storage nodes are few.
func gossipSettings() membership.Settings {
	derived := membership.DefaultSettings()
	derived.ExchangeInterval = 300 * time.Millisecond
	derived.ExchangeTimeout = 500 * time.Millisecond
	derived.SuspicionTime = 900 * time.Millisecond
	derived.ContactInterval = time.Second
	derived.SyncDelay = time.Second
	derived.SettleTime = 3 * time.Second
	return derived
}

// knownAddresses are those of the sets that were on the disk, and the seeds.
func (n *Node) knownAddresses() []string {
	var addresses []string
	for _, seed := range n.settings.Seeds {
		addresses = append(addresses, seed.String())
	}
	for _, view := range n.views.Views() {
		for _, member := range view.Members {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

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

func (n *Node) applyNodes(snapshot follow.Snapshot) {
	nodes, _ := directory.DecodeNodes(snapshot)
	addresses := n.knownAddresses()
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	n.membership.SetSeeds(addresses)
	n.keeper.ApplyNodes(snapshot)
}

func (n *Node) operatorServer() *http.Server {
	readiness := telemetry.NewReadiness()
	readiness.Add("replicas", n.repair.Check)
	return &http.Server{Handler: telemetry.NewHandler(n.metrics, readiness), ReadHeaderTimeout: listener.HeaderTimeout}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
