package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// Parts are what differs between deployments.
type Parts struct {
	// Dialect reads what callers send and writes what they are told.
	Dialect relay.Dialect
	// IDHeader is the header in which back ends repeat a request's id.
	IDHeader string
	// Configuration and Instances are the objects to follow.
	Configuration follow.Source
	Instances     follow.Source
	// Sets are the replica sets of the storage nodes, as package
	// coordination/directory publishes them.
	Sets follow.Source
	// DecodeConfiguration finds the configuration among its objects. Found is false
	// where there is none yet; an error says that there is one that can't be read.
	DecodeConfiguration func(follow.Snapshot) (configuration routetable.Configuration, found bool, err error)
	// DecodeInstance reads one instance; an error says that the entry names none.
	DecodeInstance func(follow.Object) (backend.Instance, error)
}

const (
	// maxInFlight bounds the requests under way, for the sake of the memory of the
	// smallest gateways (chosen, not measured).
	maxInFlight = 2000
	// failureLogRate and answerLines bound the log lines a second about requests that
	// failed and that were answered, refusalLines those about entries of instances that
	// can't be read. burstLines is what each may save up (all chosen, not measured).
	failureLogRate      = 200
	accessLogRate       = 10
	invalidEntryLogRate = 10
	logBurst            = 100
	// memoryLimitFraction of the memory limit is where the garbage collector works harder
	// (chosen, not measured).
	memoryLimitFraction = 0.8
)

// Gateway is one running daemon.
type Gateway struct {
	settings settings.Gateway
	parts    Parts
	logger   *zap.Logger

	// What is known of the deployment, and the ways by which it comes.
	followers      followers
	activeTable    *routetable.InForce
	backends       *backend.Pool
	invalidEntries invalidEntries
	// configurationInvalid is set while the newest configuration can't be used, so that an older one
	// is in force.
	configurationInvalid atomic.Bool
	// instancesListed is set once the instances are known.
	instancesListed atomic.Bool

	// What serves requests.
	callers  *callerServer
	relay    *relay.Handler
	upstream *upstream.Client
	storage  *storageClients
	draining atomic.Bool

	// What serves operatorListener.
	operatorListener *listener.Listener
	metrics          *prometheus.Registry
	ejections        prometheus.Counter

	// stop ends the services; stopped then says why they ended.
	stop    context.CancelFunc
	stopped <-chan error
}

// Run runs a gateway until the context ends, then drains it.
func Run(ctx context.Context, loaded settings.Gateway, parts Parts, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.MemoryLimit)))
	g, err := Start(loaded, parts, logger)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		g.Drain()
		return nil
	case err := <-g.stopped:
		return err
	}
}

// Start opens the listeners and starts the services. It fails where an address can't be
// listened on.
func Start(loaded settings.Gateway, parts Parts, logger *zap.Logger) (*Gateway, error) {
	g, err := newGateway(loaded, parts, logger)
	if err != nil {
		return nil, err
	}
	if err := g.openListeners(); err != nil {
		return nil, err
	}
	services, stop := context.WithCancel(context.Background())
	supervisor := suture.New("gateway", suture.Spec{EventHook: g.logSupervisorEvent})
	for _, service := range g.services() {
		supervisor.Add(service)
	}
	g.stop = stop
	g.stopped = supervisor.ServeBackground(services)
	logger.Info("started", zap.String("caller_address", g.CallerAddress()),
		zap.String("operator_address", g.OperatorAddress()), zap.String("store", loaded.StoreURL))
	return g, nil
}

// services are the parts that run by themselves.
func (g *Gateway) services() []suture.Service {
	return []suture.Service{
		g.followers.configuration, g.followers.instances, g.followers.replicaSets, g.mirrorReader(), g.prober(), g.quotaAnnouncer(),
		g.callers, g.operatorListener, idleCloser{g.upstream},
	}
}

// CallerAddress is where callers are served.
func (g *Gateway) CallerAddress() string { return g.callers.address().String() }

// OperatorAddress is where operators are served.
func (g *Gateway) OperatorAddress() string { return g.operatorListener.Address() }

// newGateway makes the parts, of which none runs yet.
func newGateway(loaded settings.Gateway, parts Parts, logger *zap.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: loaded, parts: parts, logger: logger,
		activeTable: &routetable.InForce{},
		metrics:     telemetry.NewRegistry(),
	}
	g.buildBackends()
	var err error
	if g.storage, err = newStorageClients(loaded, g.metrics, logger); err != nil {
		return nil, err
	}
	g.createFollowers()
	g.buildRelay()
	g.registerMetrics()
	return g, nil
}

// buildBackends makes the pool of instances and the client that speaks to them.
func (g *Gateway) buildBackends() {
	g.ejections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marblering_gateway_ejections_total", Help: "Instances left out for a while.",
	})
	g.invalidEntries = invalidEntries{
		counter: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_refused_entries_total", Help: "Entries of instances that can't be read, once a change of each.",
		}),
		logger: telemetry.Limited(g.logger, invalidEntryLogRate, logBurst),
	}
	g.backends = backend.NewPool(backend.EjectionPolicy(), time.Now)
	g.backends.OnEjected(g.onInstanceEjected)
	g.backends.OnRestarted(g.onInstanceRestarted)
	upstreamSettings := upstream.DefaultSettings()
	upstreamSettings.IDHeader = g.parts.IDHeader
	g.upstream = upstream.NewClient(upstreamSettings, time.Now)
}

// buildRelay makes the handler of callers' requests.
func (g *Gateway) buildRelay() {
	g.relay = relay.New(relay.Options{
		Tables: g.activeTable, Backends: g.backends, Exchanger: g.upstream, Dialect: g.parts.Dialect,
		Turns: g.storage.conversations, Quotas: g.storage.quotas,
		Certain: g.isConfigurationNewest, TableAge: g.followers.configuration.Age, Proof: configurationFreshness{g},
		Unready: g.isUnready, MaxInFlight: maxInFlight, Gone: g.onInstanceGone,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(g.metrics), Now: time.Now,
		Logger:   telemetry.Limited(g.logger, failureLogRate, logBurst),
		Answered: telemetry.Limited(g.logger, accessLogRate, logBurst),
	})
}

func (g *Gateway) openListeners() (err error) {
	if g.callers, err = listenCallers(g.settings.CallerListen, g.relay, g.logger); err != nil {
		return err
	}
	operators := &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: listener.HeaderTimeout}
	g.operatorListener, err = listener.Open("operators", g.settings.OperatorListen.String(), operators)
	return err
}

func (g *Gateway) logSupervisorEvent(event suture.Event) {
	g.logger.Warn("supervisor event", zap.String("event", event.String()))
}
