// Package retirement drains a storage node before it is removed. It marks the node as
// leaving, so that repair moves its replicas to other nodes, and reports completion only
// when every replica set holds its data without this node.
//
// It owns the order for this node and the last reported state. It receives the orders from
// a follower and checks the replica sets through Sets.
package retirement

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
)

// State is the progress of a retirement.
type State int

// States of a retirement.
const (
	// Running means that replicas are being moved.
	Running State = iota
	// Completed means that no replica set needs the node.
	Completed
)

// Order requests the retirement of a node.
type Order struct {
	Node string
	// Reported is the last reported state. It is only valid if HasReport is set.
	Reported  State
	HasReport bool
}

// Reporter reports the state of a retirement to the operator.
type Reporter interface {
	Report(ctx context.Context, node string, state State) error
}

// Sets gives access to the replica sets known to this node.
type Sets interface {
	// Shards returns the number of replica sets; zero if it is unknown.
	Shards() uint32
	// Views returns the open views that are known, at most one of each set.
	Views() []register.View
	// HoldsAllData reports whether every member of the view holds all of its data.
	HoldsAllData(ctx context.Context, view register.View) bool
}

const (
	checkInterval = 250 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
	// holdsTimeout limits the queries to the members of one set.
	holdsTimeout = time.Second
)

// Options configures a Service.
type Options struct {
	// Node and Incarnation identify this node.
	Node        string
	Incarnation string
	Sets        Sets
	// SetLeaving announces to the other nodes whether this one is leaving.
	SetLeaving func(leaving bool)
	Reporter   Reporter
	Logger     *zap.Logger
}

// Service executes the order for this node. It implements suture.Service.
type Service struct {
	options Options
	mutex   sync.Mutex
	order   *Order
}

// New returns a service without an order.
func New(options Options) *Service { return &Service{options: options} }

// String returns the service name for the supervisor's log messages.
func (s *Service) String() string { return "retirement" }

// Apply replaces the orders. Those for other nodes are ignored.
func (s *Service) Apply(orders []Order) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wasLeaving := s.order != nil
	s.order = nil
	for _, order := range orders {
		if order.Node == s.options.Node {
			s.order = &order
		}
	}
	if leaving := s.order != nil; leaving != wasLeaving {
		s.options.Logger.Info("retirement order changed", zap.Bool("ordered", leaving))
		s.options.SetLeaving(leaving)
	}
}

// Decoder returns a follower's Apply function that decodes the orders. An invalid order is
// logged and skipped.
func (s *Service) Decoder(decode func(follow.Object) (Order, error)) func(follow.Snapshot) {
	return func(snapshot follow.Snapshot) {
		var orders []Order
		for _, object := range snapshot.Objects {
			order, err := decode(object)
			if err != nil {
				s.options.Logger.Error("invalid retirement order ignored", zap.String("object", object.Name), zap.Error(err))
				continue
			}
			orders = append(orders, order)
		}
		s.Apply(orders)
	}
}

// Serve checks the order periodically until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.checkOrder(ctx)
		}
	}
}

// checkOrder reports the state of the order if it has changed. A failed report is repeated
// by the next check.
func (s *Service) checkOrder(ctx context.Context) {
	s.mutex.Lock()
	order := s.order
	s.mutex.Unlock()
	if order == nil || order.HasReport && order.Reported == Completed {
		return
	}
	state := Running
	if s.isDrained(ctx) {
		state = Completed
	}
	if order.HasReport && order.Reported == state {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.options.Reporter.Report(bounded, order.Node, state)
	s.options.Logger.Info("retirement reported", zap.Bool("completed", state == Completed), zap.Error(err))
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.order == order {
		s.order = &Order{Node: order.Node, Reported: state, HasReport: true}
	}
}

// isDrained reports whether no replica set needs this node: it is a member of none, and
// all members of each set hold its data. It is false while this node doesn't know all sets:
// it may be a member of one that it lacks.
func (s *Service) isDrained(ctx context.Context) bool {
	views := s.options.Sets.Views()
	if shards := s.options.Sets.Shards(); shards == 0 || uint32(len(views)) < shards {
		return false
	}
	for _, view := range views {
		for _, member := range view.Members {
			if member.Incarnation == s.options.Incarnation {
				return false
			}
		}
	}
	for _, view := range views {
		if !s.holdsAllData(ctx, view) {
			return false
		}
	}
	return true
}

func (s *Service) holdsAllData(ctx context.Context, view register.View) bool {
	ctx, cancel := context.WithTimeout(ctx, holdsTimeout)
	defer cancel()
	return s.options.Sets.HoldsAllData(ctx, view)
}
