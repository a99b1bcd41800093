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
	// maximumShardViews is the maximum number of shard views in one message.
	maximumShardViews = 16
)

// Exchanger sends exchange requests to other nodes. Exchange returns an error if
// the node at the address (host:port) doesn't return a valid response before the
// context ends.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// ShardViews provides and merges the shard views that exchanges carry.
type ShardViews interface {
	// Digest returns the same value on all nodes that know the same epochs.
	Digest() uint64
	// Outgoing returns at most limit views to send to a node whose digest differs.
	Outgoing(limit int) []*peerv1.ShardView
	// Merge merges the views of another node.
	Merge(views []*peerv1.ShardView)
}

// Options holds the dependencies and callbacks of a Service. Exchanger, Now and
// Logger are required.
type Options struct {
	Exchanger Exchanger
	Now       func() time.Time
	Logger    *zap.Logger
	// Shards may be nil.
	Shards ShardViews
	// ConfigurationVersion returns this node's configuration version; it may be nil.
	ConfigurationVersion func() uint64
	// OnNewerConfiguration is called with the address of a node that has a later
	// configuration version; it may be nil and must not block.
	OnNewerConfiguration func(address string, version uint64)
	// OnEvent is called with every event, in order; it may be nil and must not
	// block or call the service.
	OnEvent func(Event)
}

// Service drives a Gossip in real time. It implements suture.Service. All methods
// but Serve are safe for concurrent use.
type Service struct {
	options Options
	mutex   sync.Mutex
	gossip  *Gossip
	wakeup  chan struct{}
}

// NewService returns a service that takes ownership of gossip.
func NewService(gossip *Gossip, options Options) *Service {
	return &Service{
		options: options,
		gossip:  gossip,
		wakeup:  make(chan struct{}, 1),
	}
}

// Members returns the latest snapshot without taking a lock.
func (s *Service) Members() *Members { return s.gossip.Members() }

// Serve runs the protocol until the context ends and then tells the peers that
// this node has departed.
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

// String returns the service's name for the supervisor's messages.
func (s *Service) String() string { return "membership" }

// Exchange processes another node's exchange and returns the response.
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

// SetLeaving sets or clears this node's leaving mark.
func (s *Service) SetLeaving(leaving bool) {
	s.withGossip(func(time.Time) { s.gossip.SetLeaving(leaving) })
}

// SetSeeds replaces the seed addresses.
func (s *Service) SetSeeds(addresses []string) {
	s.withGossip(func(time.Time) { s.gossip.SetSeeds(addresses) })
}

// ObserveMachines applies a reading of the platform's machine list.
func (s *Service) ObserveMachines(machines []Machine) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveMachines(now, machines) })
}

// ObserveEngine applies what this node learned from an engine.
func (s *Service) ObserveEngine(report EngineReport) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveEngine(now, report) })
}

// ObserveEjection records whether this node has stopped sending work to the
// engine.
func (s *Service) ObserveEjection(engine string, ejected bool) {
	s.withGossip(func(now time.Time) { s.gossip.ObserveEjection(now, engine, ejected) })
}

// NotifyConfigurationChange sends a new configuration version to the peers immediately.
func (s *Service) NotifyConfigurationChange() {
	s.withGossip(func(time.Time) {})
}

// withGossip runs an action while holding the lock, then reports the events and
// wakes Serve if the action queued urgent exchanges.
func (s *Service) withGossip(action func(now time.Time)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hadUrgent := s.gossip.HasUrgent()
	if s.options.ConfigurationVersion != nil {
		s.gossip.SetConfigurationVersion(s.options.ConfigurationVersion())
	}
	action(s.options.Now())
	for _, event := range s.gossip.TakeEvents() {
		s.observe(event)
	}
	// Urgent exchanges left over from before exceeded the rate limit and wait for
	// the next tick.
	if s.gossip.HasUrgent() && !hadUrgent {
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
	if s.options.OnNewerConfiguration == nil || s.options.ConfigurationVersion == nil {
		return
	}
	if version > s.options.ConfigurationVersion() {
		s.options.OnNewerConfiguration(address, version)
	}
}

// depart tells the peers that this node has departed and waits at most
// departTimeout.
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
				s.options.Logger.Debug("sending the departure to a peer failed",
					zap.String("peer", exchange.Target.Node),
					zap.Error(err))
			}
		})
	}
	running.Wait()
}

func (s *Service) observe(event Event) {
	s.logEvent(event)
	if s.options.OnEvent != nil {
		s.options.OnEvent(event)
	}
}

func (s *Service) logEvent(event Event) {
	if event.Kind == EngineChanged {
		s.options.Logger.Info("engine leaving mark changed",
			zap.String("event", event.Kind.String()),
			zap.String("engine", event.Engine),
			zap.Bool("leaving", event.EngineLeaving))
		return
	}
	// A single lost message causes a suspicion, so it isn't worth the info level.
	level := zap.InfoLevel
	if event.Kind == Suspected {
		level = zap.DebugLevel
	}
	s.options.Logger.Log(level, "node membership changed",
		zap.String("event", event.Kind.String()),
		zap.String("peer", event.Member.Node),
		zap.String("incarnation", event.Member.Incarnation),
		zap.String("peer_zone", event.Member.Zone),
		zap.String("state", event.Member.State.String()))
}
