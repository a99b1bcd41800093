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
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/transport/listener"
	"github.com/marblering/marblering/transport/relay"
	"github.com/marblering/marblering/transport/upstream"
)

// Parts are what differs between deployments.
type Parts struct {
	Dialect relay.Dialect
	// IDHeader is the header in which back ends repeat a request's id.
	IDHeader string
	// Configuration and Instances are the objects to follow.
	Configuration follow.Source
	Instances     follow.Source
	// Sets are the replica sets of the storage nodes, as package directory
	// publishes them.
	Sets follow.Source
	// DecodeConfiguration finds the configuration among its objects; found is
	// false where there is none yet.
	DecodeConfiguration func(follow.Snapshot) (configuration routetable.Configuration, found bool, err error)
	// DecodeInstance reads one instance.
	DecodeInstance func(follow.Object) (backend.Instance, error)
}

const (
	maxInFlight = 2000
	// watchSlack is how much longer than its wait a held call may take.
	watchSlack = 700 * time.Millisecond
	// seldomWait is how long the store may hold a call about what changes seldom.
	seldomWait = 20 * time.Second
	// relistTime is left for a listing after a held call that wasn't answered.
	relistTime = 800 * time.Millisecond
	// failureLines and answerLines bound the log lines a second about requests
	// that failed and that were answered, burstLines what both may save up.
	failureLines = 200
	answerLines  = 10
	burstLines   = 100
	// refusalLines bounds those about entries that can't be read.
	refusalLines = 10
	// idleSweep is the pause between two looks at the kept connections.
	idleSweep = time.Second
	// memoryPart of the limit is where the garbage collector works harder.
	memoryPart = 0.8
)

// Gateway is one running daemon.
type Gateway struct {
	settings settings.Gateway
	parts    Parts
	logger   *zap.Logger

	tables        *routetable.Holder
	backends      *backend.Pool
	upstream      *upstream.Client
	relay         *relay.Handler
	configuration *follow.Follower
	// configurationSource is the way by which the configuration comes.
	configurationSource *mirror.Source
	instances           *follow.Follower
	sets                *follow.Follower
	holders             *mirror.Holders
	// following logs which holders are followed, within bounds.
	following *zap.Logger
	state     *state
	callers   *callerServer
	operators *listener.Listener
	metrics   *prometheus.Registry
	ejections prometheus.Counter
	// refused are the revisions of the instances' entries that can't be read. Only
	// applyInstances uses it, which is called one at a time.
	refused map[string]int64
	// refusedEntries counts such entries once a change of each; refusals logs them,
	// within bounds.
	refusedEntries prometheus.Counter
	refusals       *zap.Logger
	// storeCalls counts by kind of objects what this gateway itself asks the store.
	storeCalls *prometheus.CounterVec
	// unusable is set while the newest configuration can't be used, so that an older one
	// is in force.
	unusable atomic.Bool
	// listed is set once the instances are known.
	listed   atomic.Bool
	draining atomic.Bool

	stop    context.CancelFunc
	stopped <-chan error
}

// Run runs a gateway until the context ends, then drains it.
func Run(ctx context.Context, loaded settings.Gateway, parts Parts, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(loaded.MemoryLimit)))
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

// Start opens the listeners and starts the services.
func Start(loaded settings.Gateway, parts Parts, logger *zap.Logger) (*Gateway, error) {
	g, err := newGateway(loaded, parts, logger)
	if err != nil {
		return nil, err
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	services, stop := context.WithCancel(context.Background())
	supervisor := suture.New("gateway", suture.Spec{EventHook: g.logEvent})
	for _, service := range []suture.Service{g.configuration, g.instances, g.sets, g.mirrored(), g.prober(), g.announcer(), g.callers, g.operators, idleCloser{g.upstream}} {
		supervisor.Add(service)
	}
	g.stop = stop
	g.stopped = supervisor.ServeBackground(services)
	logger.Info("started", zap.String("caller_address", g.CallerAddress()),
		zap.String("operator_address", g.OperatorAddress()), zap.String("store", loaded.StoreURL))
	return g, nil
}

// CallerAddress is where callers are served.
func (g *Gateway) CallerAddress() string { return g.callers.address().String() }

// OperatorAddress is where operators are served.
func (g *Gateway) OperatorAddress() string { return g.operators.Address() }

func newGateway(loaded settings.Gateway, parts Parts, logger *zap.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: loaded, parts: parts, logger: logger,
		tables:   &routetable.Holder{},
		backends: backend.NewPool(backend.EjectionPolicy(), time.Now),
		metrics:  telemetry.NewRegistry(),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_ejections_total", Help: "Instances left out for a while.",
		}),
		storeCalls: telemetry.NewStoreCalls(),
		following:  telemetry.Following(logger),
		refusedEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marblering_gateway_refused_entries_total", Help: "Entries of instances that can't be read, once a change of each.",
		}),
		refusals: telemetry.Limited(logger, refusalLines, burstLines),
	}
	g.backends.OnEjected(g.instanceEjected)
	g.backends.OnRestarted(g.instanceRestarted)
	bounds := upstream.DefaultSettings()
	bounds.IDHeader = parts.IDHeader
	g.upstream = upstream.NewClient(bounds, time.Now)
	var err error
	if g.state, err = newState(loaded, g.metrics, logger); err != nil {
		return nil, err
	}
	g.holders = mirror.NewHolders(g.holderOrder, time.Now)
	g.configuration = g.newFollower(mirror.KindConfiguration, parts.Configuration, g.applyConfiguration)
	g.instances = g.newFollower(mirror.KindInstances, parts.Instances, g.applyInstances)
	g.sets = g.newSeldomFollower(mirror.KindSets, parts.Sets, g.state.lookup.Apply)
	g.relay = relay.New(relay.Options{
		Tables: g.tables, Backends: g.backends, Exchanger: g.upstream, Dialect: parts.Dialect,
		Turns: g.state.conversations, Quotas: g.state.quotas, Certain: g.isCertain, TableAge: g.configuration.Age, Proof: proof{g},
		Unready: g.isUnready, MaxInFlight: maxInFlight, Gone: g.instanceGone,
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(g.metrics), Now: time.Now,
		Logger: telemetry.Limited(logger, failureLines, burstLines), Answered: telemetry.Limited(logger, answerLines, burstLines),
	})
	g.registerGauges()
	return g, nil
}

// mirrored asks storage nodes for what they had from the store while it is out of
// reach of this node.
func (g *Gateway) mirrored() *mirror.Reader {
	return mirror.NewReader(g.holderOrder, g.state.peers, g.followed(), time.Now, g.logger)
}

// newSeldomFollower follows what changes seldom, and where a late change costs
// nothing: replicas say themselves when a set has changed.
func (g *Gateway) newSeldomFollower(name string, source follow.Source, apply func(follow.Snapshot)) *follow.Follower {
	bounds := follow.DefaultSettings()
	bounds.WatchWait = seldomWait
	return follow.New(follow.Options{
		Name: name, Source: g.throughHolders(name, source, mirror.SourceSettings{
			Wait: holderWait, MaxAge: setsAge, Patience: setsPatience(), StorePause: setsPause,
		}), Settings: bounds,
		Apply: apply, Logger: g.logger, Now: time.Now,
	})
}

func (g *Gateway) newFollower(name string, source follow.Source, apply func(follow.Snapshot)) *follow.Follower {
	bounds, through := followBounds(g.settings), holderBounds(g.settings)
	if name == mirror.KindConfiguration && g.settings.RevokeLimit > 0 {
		bounds.MaxPause = mirror.ProofPause
		through = provenSettings(g.settings.RevokeLimit, through)
		source = follow.Polled(source, mirror.ProofInterval(g.settings.RevokeLimit), time.Now)
	}
	followed := g.throughHolders(name, source, through)
	if name == mirror.KindConfiguration {
		g.configurationSource = followed
	}
	return follow.New(follow.Options{
		Name: name, Source: followed, Settings: bounds,
		Apply: apply, Logger: g.logger, Now: time.Now,
	})
}

func (g *Gateway) listen() (err error) {
	if g.callers, err = listenCallers(g.settings.CallerListen, g.relay, g.logger); err != nil {
		return err
	}
	operators := &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: listener.HeaderTimeout}
	g.operators, err = listener.Open("operators", g.settings.OperatorListen.String(), operators)
	return err
}

func (g *Gateway) operatorHandler() http.Handler {
	readiness := telemetry.NewReadiness()
	readiness.Add("configuration", g.checkConfiguration)
	readiness.Add("instances", g.checkInstances)
	readiness.Add("storage", g.checkStorage)
	readiness.Add("proof", g.checkProof)
	readiness.Add("serving", g.checkServing)
	return telemetry.NewHandlerAt(g.settings.ReadyPath, g.metrics, readiness)
}

// instanceGone leaves an instance out whose address another has, and closes its
// connections. It is back if it is started again.
func (g *Gateway) instanceGone(life backend.Life) {
	g.backends.Gone(life)
	g.upstream.Forget(life.ID)
	g.logger.Info("instance lost its address", zap.String("instance", life.ID), startedField("started", life))
}

// instanceRestarted closes the connections to an instance that was started again under
// its id: its process of before answers nobody any more.
func (g *Gateway) instanceRestarted(restart backend.Restart) {
	g.upstream.Forget(restart.Is.ID)
	g.logger.Info("instance started again", zap.String("instance", restart.Is.ID),
		startedField("before", restart.Was), startedField("started", restart.Is), zap.Int64("under_way", restart.UnderWay))
}

func startedField(key string, life backend.Life) zap.Field {
	if life.Started.IsZero() {
		return zap.String(key, "unknown")
	}
	return zap.Time(key, life.Started)
}

// instanceEjected says which request was the last of those that had an instance
// left out for a while.
func (g *Gateway) instanceEjected(instance backend.Instance, ending backend.Ending) {
	fields := []zap.Field{zap.String("instance", instance.ID), zap.String("service", instance.Service), zap.String("address", instance.Address)}
	switch e := ending.(type) {
	case backend.Answered:
		fields = append(fields, zap.String("last", "answered"), zap.Duration("wait", e.Wait), zap.Bool("faulty", e.Faulty))
	case backend.Broken:
		fields = append(fields, zap.String("last", "broken"))
	case backend.Waited:
		fields = append(fields, zap.String("last", "given up"), zap.Duration("wait", e.Wait))
	case backend.Unjudged:
	}
	g.ejections.Inc()
	g.logger.Info("instance ejected", fields...)
}

func (g *Gateway) logEvent(event suture.Event) {
	g.logger.Warn("supervisor event", zap.String("event", event.String()))
}

// idleCloser closes connections that have rested too long.
type idleCloser struct {
	client *upstream.Client
}

// String names the service in the supervisor's messages.
func (idleCloser) String() string { return "closer of idle connections" }

// Serve implements suture.Service.
func (c idleCloser) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.client.CloseIdle()
		}
	}
}
