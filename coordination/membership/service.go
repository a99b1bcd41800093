package membership

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

const (
	stepInterval  = 100 * time.Millisecond
	departTimeout = time.Second
	// maximumShardViews bounds the shard views in one message.
	maximumShardViews = 16
)

// Exchanger sends an exchange to the node at the address (host:port). An
// answer of another kind than a response is an error; so is none until the
// context ends.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// ShardViews supplies and takes the shard views that travel with exchanges.
type ShardViews interface {
	// Digest is equal at two nodes that know the same epochs.
	Digest() uint64
	// Outgoing returns at most limit views for a node whose digest differs.
	Outgoing(limit int) []*peerv1.ShardView
	// Merge takes in the views of another node.
	Merge(views []*peerv1.ShardView)
}

// Options are a Service's collaborators. Exchanger, Now and Logger are
// required.
type Options struct {
	Exchanger Exchanger
	Now       func() time.Time
	Logger    *zap.Logger
	// Shards may be nil.
	Shards ShardViews
	// ConfigurationVersion returns this node's version; it may be nil.
	ConfigurationVersion func() uint64
	// ConfigurationSeen is told of a later version at a node's address; it may
	// be nil and mustn't block.
	ConfigurationSeen func(address string, version uint64)
	// Observe is told of every event, in order; it may be nil and mustn't block
	// or call the service.
	Observe func(Event)
}

// Service drives a Gossip in real time. It is a suture service; its other
// methods may be called from any goroutine.
type Service struct {
	options Options
	mutex   sync.Mutex
	gossip  *Gossip
	wakeup  chan struct{}
}

// NewService makes a service that owns the gossip from now on.
func NewService(gossip *Gossip, options Options) *Service {
	return &Service{
		options: options,
		gossip:  gossip,
		wakeup:  make(chan struct{}, 1),
	}
}

// Members returns the newest snapshot without taking a lock.
func (s *Service) Members() *Members { return s.gossip.Members() }

// Serve gossips until the context ends, then tells the peers that this node
// has gone.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		for _, exchange := range s.step() {
			running.Go(func() { s.runExchange(ctx, exchange) })
		}
		select {
		case <-ctx.Done():
			s.depart()
			return ctx.Err()
		case <-ticker.C:
		case <-s.wakeup:
		}
	}
}

// String names the service in the supervisor's messages.
func (s *Service) String() string { return "membership" }

// Exchange answers another node's exchange.
func (s *Service) Exchange(_ context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	var response *peerv1.ExchangeResponse
	s.withGossip(func(now time.Time) {
		response = s.gossip.HandleRequest(now, request)
	})
	s.mergeShards(request.GetShards())
	s.fillResponse(request, response)
	s.reportConfigurationVersion(request.GetSender().GetAddress(), request.GetConfigurationVersion())
	return response, nil
}

// SetLeaving says whether this node is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.withGossip(func(time.Time) { s.gossip.SetLeaving(leaving) })
}

// SetSeeds replaces the addresses of other nodes to try.
func (s *Service) SetSeeds(addresses []string) {
	s.withGossip(func(time.Time) { s.gossip.SetSeeds(addresses) })
}

// ObserveMachines takes in a reading of the platform's machine list.
func (s *Service) ObserveMachines(machines []Machine) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveMachines(now, machines) })
}

// ObserveEngine takes in what this node saw of an engine.
func (s *Service) ObserveEngine(report EngineReport) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveEngine(now, report) })
}

// ObserveEjection says whether this node sends the engine no work.
func (s *Service) ObserveEjection(engine string, ejected bool) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveEjection(now, engine, ejected) })
}

// ConfigurationChanged has the peers told of a new version at once.
func (s *Service) ConfigurationChanged() {
	s.withGossip(func(time.Time) {})
}

// withGossip runs one action of the gossip and then passes on what came of it.
func (s *Service) withGossip(action func(now time.Time)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hurried := s.gossip.HasUrgent()
	if s.options.ConfigurationVersion != nil {
		s.gossip.SetConfigurationVersion(s.options.ConfigurationVersion())
	}
	action(s.options.Now())
	for _, event := range s.gossip.TakeEvents() {
		s.observe(event)
	}
	// What is still urgent from before waits for the next tick: the budget of
	// exchanges is used up.
	if s.gossip.HasUrgent() && !hurried {
		s.wake()
	}
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *Service) step() []Exchange {
	var exchanges []Exchange
	s.withGossip(func(now time.Time) { exchanges = s.gossip.Step(now) })
	return exchanges
}

func (s *Service) runExchange(ctx context.Context, exchange Exchange) {
	limited, cancel := context.WithTimeout(ctx, s.gossip.settings.ExchangeTimeout)
	defer cancel()
	s.fillRequest(exchange.Request)
	response, err := s.options.Exchanger.Exchange(limited, exchange.Target.Address, exchange.Request)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.options.Logger.Debug("membership exchange failed",
			zap.String("peer", exchange.Target.Node),
			zap.String("address", exchange.Target.Address),
			zap.Error(err))
		response = nil
	}
	s.withGossip(func(now time.Time) { s.gossip.HandleOutcome(now, exchange, response) })
	if response != nil {
		s.mergeShards(response.GetShards())
		s.reportConfigurationVersion(exchange.Target.Address, response.GetConfigurationVersion())
	}
}

func (s *Service) fillRequest(request *peerv1.ExchangeRequest) {
	if s.options.Shards == nil {
		return
	}
	request.ShardsDigest = s.options.Shards.Digest()
}

func (s *Service) fillResponse(request *peerv1.ExchangeRequest, response *peerv1.ExchangeResponse) {
	if s.options.Shards == nil {
		return
	}
	response.ShardsDigest = s.options.Shards.Digest()
	if request.GetShardsDigest() != response.ShardsDigest {
		response.Shards = s.options.Shards.Outgoing(maximumShardViews)
	}
}

func (s *Service) mergeShards(views []*peerv1.ShardView) {
	if s.options.Shards != nil && len(views) > 0 {
		s.options.Shards.Merge(views)
	}
}

func (s *Service) reportConfigurationVersion(address string, version uint64) {
	if s.options.ConfigurationSeen == nil || s.options.ConfigurationVersion == nil {
		return
	}
	if version > s.options.ConfigurationVersion() {
		s.options.ConfigurationSeen(address, version)
	}
}

// depart tells the peers that this node has gone; it doesn't wait long.
func (s *Service) depart() {
	var exchanges []Exchange
	s.withGossip(func(now time.Time) { exchanges = s.gossip.Depart(now) })
	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, exchange := range exchanges {
		running.Go(func() {
			_, err := s.options.Exchanger.Exchange(ctx, exchange.Target.Address, exchange.Request)
			if err != nil {
				s.options.Logger.Debug("departure not delivered",
					zap.String("peer", exchange.Target.Node),
					zap.Error(err))
			}
		})
	}
	running.Wait()
}

func (s *Service) observe(event Event) {
	s.logEvent(event)
	if s.options.Observe != nil {
		s.options.Observe(event)
	}
}

func (s *Service) logEvent(event Event) {
	if event.Kind == EngineChanged {
		s.options.Logger.Info("membership changed",
			zap.String("event", event.Kind.String()),
			zap.String("engine", event.Engine),
			zap.Bool("leaving", event.EngineLeaving))
		return
	}
	// A lost message is enough for a suspicion.
	level := zap.InfoLevel
	if event.Kind == Suspected {
		level = zap.DebugLevel
	}
	s.options.Logger.Log(level, "membership",
		zap.String("event", event.Kind.String()),
		zap.String("peer", event.Member.Node),
		zap.String("incarnation", event.Member.Incarnation),
		zap.String("peer_zone", event.Member.Zone),
		zap.String("state", event.Member.State.String()))
}
