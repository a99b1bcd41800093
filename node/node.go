// Package node builds one daemon of the coordination parts: the suture tree,
// the listeners and the wiring between them.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/protocol/objectapi"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/nodepeer"
	"github.com/marblering/marblering/transport/peer"
)

// Sizes and intervals that are no matter of settings.
const (
	recentTrees       = 10000
	historyCacheBytes = 32 << 20
	pollInterval      = 1500 * time.Millisecond
	sweepInterval     = 2 * time.Second
	// maxQueue is the longest expected queueing before a call is shed.
	maxQueue = 2 * time.Minute
)

// Node is one running daemon.
type Node struct {
	settings   settings.Settings
	logger     *zap.Logger
	identity   string
	holder     *configuration.Holder
	agent      *configuration.Agent
	acceptor   *configuration.Acceptor
	control    *controlMembers
	views      *shard.Map
	store      replica.Store
	replica    *shard.Replica
	peers      *nodepeer.Client
	installer  *shard.Installer
	repair     *repair.Service
	membership *membership.Service
	records    *record.Store
	fleet      *fleet.Fleet
	executor   *execution.Executor
	limits     *limits
	ownership  ownership
	callers    *callerapi.Handler
	readiness  *telemetry.Readiness
	metrics    *prometheus.Registry
	random     *rand.Rand
	wire       *wire
	// instruments count what the parts don't count themselves.
	instruments *instruments
	// draining is set from the first moment of a planned stop.
	draining atomic.Bool

	peerListener     *listener.Listener
	callerListener   *listener.Listener
	operatorListener *listener.Listener

	stop    context.CancelFunc
	stopped <-chan error
	closing sync.Once
	closed  error
}

// Run runs a node until the context ends, then drains it.
func Run(ctx context.Context, loaded settings.Settings, logger *zap.Logger) error {
	n, err := Start(loaded, logger)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return n.Drain()
	case err := <-n.stopped:
		return err
	}
}

// Start builds the node and starts its services.
func Start(loaded settings.Settings, logger *zap.Logger) (*Node, error) {
	n := &Node{
		settings:  loaded,
		logger:    logger,
		holder:    configuration.NewHolder(),
		readiness: telemetry.NewReadiness(),
		metrics:   telemetry.NewRegistry(),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.wire = newWire(n.metrics)
	n.instruments = newInstruments(n.metrics)
	n.metrics.MustRegister(newGauges(n))
	if err := n.open(); err != nil {
		return nil, err
	}
	services, err := n.build()
	if err != nil {
		return nil, errors.Join(err, n.store.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	supervisor := suture.New("node", suture.Spec{EventHook: n.logEvent})
	for _, service := range services {
		supervisor.Add(service)
	}
	n.stop = stop
	n.stopped = supervisor.ServeBackground(ctx)
	logger.Info("started",
		zap.String("identity", n.identity),
		zap.String("peer_address", n.PeerAddress()),
		zap.String("peer_listen", n.peerListener.Address()),
		zap.String("caller_address", n.CallerAddress()),
		zap.String("operator_address", n.OperatorAddress()))
	return n, nil
}

func (n *Node) logEvent(event suture.Event) {
	n.logger.Warn("supervisor event", zap.String("event", event.String()))
}

// PeerAddress is where other nodes reach this one.
func (n *Node) PeerAddress() string {
	if n.settings.PeerAdvertise.IsValid() {
		return n.settings.PeerAdvertise.String()
	}
	return n.peerListener.Address()
}

// CallerAddress is where the caller API listens.
func (n *Node) CallerAddress() string { return n.callerListener.Address() }

// OperatorAddress is where operators, metrics and health are served.
func (n *Node) OperatorAddress() string { return n.operatorListener.Address() }

// open opens the replica store and names this life of the node.
func (n *Node) open() error {
	incarnation := uuid.NewString()
	n.store = replica.NewMemory()
	if n.settings.DataFolder != "" {
		disk, err := replica.OpenDisk(n.settings.DataFolder)
		if err != nil {
			return err
		}
		if damage := disk.Damage(); damage != nil {
			n.logger.Error("replica data was damaged and is set aside", zap.Error(damage))
		}
		n.store = disk
		incarnation = disk.Incarnation()
	}
	n.identity = incarnation + identitySeparator + uuid.NewString()
	n.views = shard.NewMap(uint32(n.settings.Shards))
	n.replica = shard.NewReplica(incarnation, n.store, n.views, n.holder.Version)
	return n.replica.Restore()
}

// build makes the parts and returns the services to supervise. Listeners come
// first: their addresses are part of what the node says of itself.
func (n *Node) build() ([]suture.Service, error) {
	peerMux, callerMux, statements := &lateHandler{}, &lateHandler{}, &lateHandler{}
	if err := n.openListeners(peerMux, callerMux, operatorMux(n.monitoring(), statements)); err != nil {
		return nil, err
	}
	peerMetrics := peer.NewMetrics(n.metrics)
	peers := nodepeer.NewClient(n.wire.client(wirePeer), n.settings.PeerTimeout, peerMetrics)
	n.peers = peers
	platform := objectapi.NewClient(n.settings.ObjectAPI, n.wire.client(wirePlatform)).Named(n.settings.Name)
	engineClient := engineapi.NewClient(n.wire.client(wireEngine))
	n.installer = shard.NewInstaller(n.replica, peers, n.logger)
	n.buildMembership(peers)
	if err := n.buildControl(platform, peers); err != nil {
		return nil, errors.Join(err, n.closeListeners())
	}
	n.buildExecution(peers, engineClient)
	callerMetrics := callerapi.NewMetrics(n.metrics)
	n.callers = callerapi.New(callerapi.Options{
		Service:   configuredService{Service: n.executor, limits: catalog{n.holder}.limits, now: time.Now},
		Tenants:   catalog{n.holder},
		Logger:    n.logger,
		BodyLimit: int64(n.settings.RequestSizeLimit),
		Observer:  callerMetrics,
	})
	peerMux.set(nodepeer.NewHandler(n.replica, n.configuredInstaller(peers), &peerNode{
		identity:   n.identity,
		membership: n.membership,
		executor:   n.executor,
		agent:      n.agent,
		limits:     n.limits,
	}, peerMetrics))
	callerMux.set(&callerGate{
		handler:   n.callers,
		ready:     n.knowsDeployment,
		draining:  n.isOrderedToDrain,
		bodyLimit: catalog{n.holder}.bodyLimit,
		observer:  callerMetrics,
	})
	driver := shard.NewDriver(n.identity, peers, n.views, register.SystemClock{}, n.newRandom(), register.DefaultSettings(), n.logger)
	n.repair = newRepair(n, driver)
	statements.set(n.operatorHandler(platform, n.newEngines(engineClient)))
	n.addReadinessChecks()
	return []suture.Service{
		n.peerListener, n.callerListener, n.operatorListener,
		n.membership,
		n.fleet,
		n.limits,
		n.repair,
		n.agent,
		&orderFollower{node: n},
		&configurationAnnouncer{holder: n.holder, membership: n.membership, logger: n.logger},
		&machineWatch{
			platform: platform, membership: n.membership, reads: n.reads,
			timeout: n.settings.ObjectAPITimeout, logger: n.logger,
		},
		&engineFollower{catalog: catalog{n.holder}, fleet: n.fleet},
		&bootstrap{
			platform: platform, holder: n.holder, members: n.membership.Members, views: n.views,
			shards: uint32(n.settings.Shards), replicationFactor: n.settings.ReplicationFactor,
			timeout: n.settings.ObjectAPITimeout, logger: n.logger,
		},
		&sweep{
			interval: sweepInterval, records: n.records, executor: n.executor, replica: n.replica,
			mine: n.prefers, now: time.Now, defaults: catalog{n.holder}.limits, logger: n.logger, instruments: n.instruments,
			holds: &holdSweep{
				records: n.records, fleet: n.fleet, engines: engineClient, peers: peers.Client, views: &shardViews{n.views, n.holder},
				locate: n.views.Locate, owns: n.ownsEngine, now: time.Now, random: n.newRandom(), logger: n.logger,
				released: n.instruments.releasedHolds,
				verified: make(map[string]map[string]time.Time),
			},
		},
	}, nil
}

func (n *Node) openListeners(peers, callers, operators http.Handler) error {
	var err error
	if n.peerListener, err = listen("peers", n.settings.PeerListen, peers); err != nil {
		return err
	}
	if n.callerListener, err = listen("callers", n.settings.CallerListen, callers); err != nil {
		return errors.Join(err, n.peerListener.Socket.Close())
	}
	n.peerListener.Socket = &countedListener{Listener: n.peerListener.Socket, wire: n.wire, end: wirePeer}
	n.callerListener.Socket = &countedListener{Listener: n.callerListener.Socket, wire: n.wire, end: wireCaller}
	if n.operatorListener, err = listen("operators", n.settings.OperatorListen, operators); err != nil {
		return errors.Join(err, n.peerListener.Socket.Close(), n.callerListener.Socket.Close())
	}
	return nil
}

// closeListeners closes the listeners of a node that can't start.
func (n *Node) closeListeners() error {
	return errors.Join(n.peerListener.Socket.Close(), n.callerListener.Socket.Close(), n.operatorListener.Socket.Close())
}

func (n *Node) buildMembership(peers *nodepeer.Client) {
	now := time.Now()
	identity := membership.Identity{
		Node:          n.settings.Name,
		Incarnation:   n.replica.Incarnation(),
		Address:       n.PeerAddress(),
		CallerAddress: n.CallerAddress(),
		Zone:          n.settings.Zone,
		HasDataFolder: n.settings.DataFolder != "",
		Started:       now,
	}
	gossip := membership.New(n.membershipSettings(), identity, addresses(n.settings.Seeds), n.random, now)
	n.membership = membership.NewService(gossip, membership.Options{
		Exchanger:            peers,
		Now:                  time.Now,
		Logger:               n.logger,
		Shards:               peer.NewViewGossip(n.views),
		ConfigurationVersion: n.holder.Version,
		ConfigurationSeen:    n.configurationSeen,
		Observe:              n.observeMembership,
	})
	n.control = newControlMembers(configuration.Member{
		Node:        identity.Node,
		Incarnation: identity.Incarnation,
		Address:     identity.Address,
		Zone:        identity.Zone,
	}, n.membership.Members, n.views)
}

// exchangesPerHeartbeat is how many exchanges a node begins a heartbeat.
const exchangesPerHeartbeat = 3

// membershipSettings derives the protocol's intervals from the node's settings.
func (n *Node) membershipSettings() membership.Settings {
	derived := membership.DefaultSettings()
	derived.ExchangeInterval = n.settings.HeartbeatInterval / exchangesPerHeartbeat
	derived.ExchangeTimeout = n.settings.HeartbeatInterval
	derived.SuspicionTime = n.settings.FailureTimeout - n.settings.HeartbeatInterval
	return derived
}

func addresses(ports []netip.AddrPort) []string {
	var texts []string
	for _, port := range ports {
		texts = append(texts, port.String())
	}
	return texts
}

// observeMembership passes evidence about engines on to the fleet.
func (n *Node) observeMembership(event membership.Event) {
	if event.Kind == membership.EngineChanged {
		n.fleet.MarkLeaving(event.Engine, event.EngineLeaving)
	}
}

func (n *Node) buildExecution(peers *nodepeer.Client, engineClient *engineapi.Client) {
	views := &shardViews{Map: n.views, holder: n.holder}
	client := register.NewClient(n.identity, peers, views, register.SystemClock{}, n.newRandom(), register.DefaultSettings())
	n.records = record.NewStore(client, n.views.Locate, recentTrees)
	turns := archive.New(peers, views, n.views.Locate, history.NewCache(historyCacheBytes))
	n.limits = newLimits(n.holder, peers, n.owner, n.logger, n.instruments)
	n.fleet = fleet.New(fleet.Options{
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
		Peers:    observedPeers{peers, n.instruments},
		Liveness: observedLiveness{liveness{n.membership.Members}, n.instruments},
		Catalog:  catalog{n.holder},
		Logger:   n.logger,
		Now:      time.Now,
		Random:   n.newRandom(),
		Limits:   limits,
	})
}

func (n *Node) newEngines(client *engineapi.Client) engines {
	return engines{
		client: client, takesWork: catalog{n.holder}.takesWork,
		silence: n.settings.EngineTimeout, instruments: n.instruments,
	}
}

// newRandom makes an independent source; each part guards its own.
func (n *Node) newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// engineLeaving spreads what this node saw of an engine.
func (n *Node) engineLeaving(engine string, leaving bool) {
	n.membership.ObserveEngine(membership.EngineReport{Engine: engine, Leaving: leaving, Asked: time.Now()})
}

// Name is the node's name in the settings.
func (n *Node) Name() string { return n.settings.Name }

// Explain returns the last routing decisions that this node made for the
// program, oldest first.
func (n *Node) Explain(id string) []fleet.Explained { return n.fleet.Explain(id) }

// Metrics gathers what /metrics serves.
func (n *Node) Metrics() prometheus.Gatherer { return n.metrics }
