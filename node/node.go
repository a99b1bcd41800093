// Package node builds one daemon, "marblering serve", of the parts in the layers
// below and runs it.
//
// It owns the daemon's life (start, readiness, drain and stop), its listeners and
// connections, and the adapters by which the parts use each other: the
// configuration in force as limits, tenants and engines; the limits of tenants;
// the sweep of what nobody looks after; and the rows that operators see. What a
// part decides stays in the part. The package relies on settings, on the object
// API for configuration, and on the peers for all else.
package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/nodepeer"
)

// Node is one running daemon.
type Node struct {
	settings settings.Settings
	logger   *zap.Logger
	// identity names this life of the process: see identitySeparator.
	identity  string
	readiness *telemetry.Readiness
	metrics   *prometheus.Registry
	// instruments count what the parts don't count themselves.
	instruments *instruments
	connections *connections

	// The configuration in force and how it is kept and changed.
	holder               *configuration.Holder
	agent                *configuration.Agent
	acceptor             *configuration.Acceptor
	configurationMembers *configurationMembers

	// The replicas of this node, and the nodes and replica sets it knows.
	store      replica.Store
	replica    *shard.Replica
	installer  *shard.Installer
	views      *shard.Map
	repair     *repair.Service
	membership *membership.Service
	ownership  ownership
	peers      *nodepeer.Client

	// What serves callers.
	records  *record.Store
	fleet    *fleet.Fleet
	limits   *limits
	executor *execution.Executor
	callers  *callerapi.Handler

	peerListener     *listener.Listener
	callerListener   *listener.Listener
	operatorListener *listener.Listener

	// draining is set from the first moment of a planned stop.
	draining atomic.Bool
	// stop ends the services; stopped has their error once they have ended.
	stop    context.CancelFunc
	stopped <-chan error
	// closing guards closed, the outcome of Close.
	closing sync.Once
	closed  error
}

// Run runs a node until the context ends, and drains it then.
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
	}
	n.connections = newConnections(n.metrics)
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

// PeerAddress returns where other nodes reach this one, as host:port.
func (n *Node) PeerAddress() string {
	if n.settings.PeerAdvertise.IsValid() {
		return n.settings.PeerAdvertise.String()
	}
	return n.peerListener.Address()
}

// CallerAddress returns where the callers' API listens, as host:port.
func (n *Node) CallerAddress() string { return n.callerListener.Address() }

// OperatorAddress returns where the operators' API, metrics and health are served,
// as host:port.
func (n *Node) OperatorAddress() string { return n.operatorListener.Address() }

// open opens the replica store and names this life of the process.
func (n *Node) open() error {
	incarnation := uuid.NewString()
	n.store = replica.NewMemory()
	if n.settings.DataFolder != "" {
		disk, err := replica.OpenDisk(n.settings.DataFolder)
		if err != nil {
			return err
		}
		if damage := disk.Corruption(); damage != nil {
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

// Name returns the node's name in the settings.
func (n *Node) Name() string { return n.settings.Name }

// Explain returns the last routing decisions that this node made for the
// program, oldest first.
func (n *Node) Explain(id string) []fleet.DecisionRecord { return n.fleet.Explain(id) }

// Metrics returns what /metrics serves.
func (n *Node) Metrics() prometheus.Gatherer { return n.metrics }
