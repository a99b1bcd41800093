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

// Dependencies are the parts of a gateway that differ between deployments.
type Dependencies struct {
	// HeaderCodec reads and writes the headers of requests and responses.
	HeaderCodec relay.HeaderCodec
	// RequestIDHeader is the header in which backends echo the ID of a request.
	RequestIDHeader string
	// Identity tells how to ask an instance when its process started; nil if it can't be asked.
	Identity *upstream.Identity
	// Configuration and Instances are the sources of these kinds of objects.
	Configuration follow.Source
	Instances     follow.Source
	// ReplicaSets is the source of the replica sets of the storage nodes, which package
	// coordination/directory publishes.
	ReplicaSets follow.Source
	// DecodeConfiguration decodes the configuration in a snapshot. found is false if there
	// is none yet; the error is non-nil if there is one that cannot be decoded.
	DecodeConfiguration func(follow.Snapshot) (configuration routetable.Configuration, found bool, err error)
	// DecodeInstance decodes the entry of one instance.
	DecodeInstance func(follow.Object) (backend.Instance, error)
}

const (
	// maxInFlight bounds concurrent requests to fit the memory of the smallest gateways.
	maxInFlight = 2000
	// Limits of log lines per second for failed requests, answered requests and invalid
	// entries of instances. Each may burst to logBurst lines.
	failureLogRate      = 200
	accessLogRate       = 10
	invalidEntryLogRate = 10
	logBurst            = 100
	// memoryLimitFraction of the configured memory limit is the soft memory limit of the
	// Go runtime.
	memoryLimitFraction = 0.8
)

// Gateway is a running gateway daemon.
type Gateway struct {
	settings     settings.Gateway
	dependencies Dependencies
	logger       *zap.Logger

	// Copies of the objects in the store.
	followers      followers
	activeTable    *routetable.ActiveTable
	backends       *backend.Pool
	invalidEntries invalidEntries
	// knownVersions are the software versions by service that were logged last. Only
	// applyInstances uses them, which is never called concurrently.
	knownVersions map[string][]string
	// configurationInvalid is set while the newest configuration is invalid and an older
	// one stays active.
	configurationInvalid atomic.Bool
	// instancesListed is set after the first listing of the instances.
	instancesListed atomic.Bool

	// Request path.
	callers  *listener.Listener
	relay    *relay.Handler
	upstream *upstream.Client
	storage  *storageClients
	draining atomic.Bool

	// Operator endpoints and metrics.
	operatorListener *listener.Listener
	metrics          *prometheus.Registry
	ejections        prometheus.Counter

	// stop ends the services; stopped then receives the reason why they ended.
	stop    context.CancelFunc
	stopped <-chan error
}

// Run runs a gateway until ctx is done, then drains it.
func Run(ctx context.Context, loaded settings.Gateway, dependencies Dependencies, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.MemoryLimit)))
	g, err := Start(loaded, dependencies, logger)
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

// Start opens the listeners and starts the services. It fails if a listener cannot be
// opened.
func Start(loaded settings.Gateway, dependencies Dependencies, logger *zap.Logger) (*Gateway, error) {
	g, err := newGateway(loaded, dependencies, logger)
	if err != nil {
		return nil, err
	}
	if err := g.openListeners(); err != nil {
		return nil, err
	}
	servicesCtx, stop := context.WithCancel(context.Background())
	supervisor := suture.New("gateway", suture.Spec{EventHook: g.logSupervisorEvent})
	for _, service := range g.services() {
		supervisor.Add(service)
	}
	g.stop = stop
	g.stopped = supervisor.ServeBackground(servicesCtx)
	logger.Info("started", zap.String("caller_address", g.CallerAddress()),
		zap.String("operator_address", g.OperatorAddress()), zap.String("store", loaded.StoreURL))
	return g, nil
}

// services returns the background services for the supervisor.
func (g *Gateway) services() []suture.Service {
	return []suture.Service{
		g.followers.configuration, g.followers.instances, g.followers.replicaSets, g.mirrorReader(), g.prober(), g.quotaAnnouncer(), g.storage.crashes.Follower(), g.storage.origins, g.relay.SendWatcher(),
		g.callers, g.operatorListener, idleCloser{g.upstream},
	}
}

// CallerAddress returns the address that serves callers.
func (g *Gateway) CallerAddress() string { return g.callers.Address() }

// OperatorAddress returns the address that serves metrics and health checks.
func (g *Gateway) OperatorAddress() string { return g.operatorListener.Address() }

// newGateway builds a gateway without starting anything.
func newGateway(loaded settings.Gateway, dependencies Dependencies, logger *zap.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: loaded, dependencies: dependencies, logger: logger,
		activeTable: &routetable.ActiveTable{},
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

// buildBackends creates the pool of instances and the HTTP client for them.
func (g *Gateway) buildBackends() {
	g.ejections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marblering_gateway_ejections_total", Help: "Instances left out for a while.",
	})
	g.invalidEntries = invalidEntries{
		counter: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_refused_entries_total", Help: "Entries of instances that can't be read, once a change of each.",
		}),
		logger: telemetry.RateLimited(g.logger, invalidEntryLogRate, logBurst),
	}
	g.backends = backend.NewPool(backend.EjectionPolicy(), time.Now)
	g.backends.OnEjected(g.onInstanceEjected)
	g.backends.OnRestarted(g.onInstanceRestarted)
	upstreamSettings := upstream.DefaultSettings()
	upstreamSettings.IDHeader = g.dependencies.RequestIDHeader
	upstreamSettings.Identity = g.dependencies.Identity
	upstreamSettings.MaxBodyBytes = int64(g.settings.AnswerSizeLimit)
	g.upstream = upstream.NewClient(upstreamSettings, time.Now)
}

// buildRelay creates the handler of requests.
func (g *Gateway) buildRelay() {
	g.relay = relay.New(relay.Options{
		Tables: g.activeTable, Backends: g.backends, Upstream: g.upstream, HeaderCodec: g.dependencies.HeaderCodec,
		Turns: g.storage.conversations, Origins: g.storage.origins, Quotas: g.storage.quotas, Crashes: g.storage.crashes,
		InstancesAge:          g.followers.instances.ViewAge,
		IsConfigurationNewest: g.isConfigurationNewest, ConfigurationAge: g.followers.configuration.ViewAge, Freshness: configurationFreshness{g},
		IsUnready: g.isUnready, MaxInFlight: maxInFlight, OnInstanceGone: g.onInstanceGone,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(g.metrics), Now: time.Now,
		Logger:       telemetry.RateLimited(g.logger, failureLogRate, logBurst),
		AccessLogger: telemetry.RateLimited(g.logger, accessLogRate, logBurst),
		StopLogger:   g.logger,
	})
}

func (g *Gateway) openListeners() (err error) {
	if g.callers, err = g.listenForCallers(); err != nil {
		return err
	}
	operatorServer := &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: listener.HeaderTimeout}
	g.operatorListener, err = listener.Open("operators", g.settings.OperatorListen.String(), operatorServer)
	return err
}

func (g *Gateway) logSupervisorEvent(event suture.Event) {
	g.logger.Warn("supervisor event", zap.String("event", event.String()))
}
