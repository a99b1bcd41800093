// Package repair keeps replica sets whole. Round after round it puts together what
// membership and the shard map say, and a maintainer carries out what shard.Plan decides
// on that.
//
// It owns since when each node has been gone, and whether this node has seen every set
// whole. It relies on package membership for who is alive and on package shard for the
// plan and its execution.
package repair

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// roundTimeout bounds one round, so that a member that hangs while it copies
	// doesn't stop the repair of other sets. Chosen, not measured.
	roundTimeout = time.Minute
	// handoverPause is the pause between two checks of a handover. Chosen, not
	// measured.
	handoverPause = 200 * time.Millisecond
	// handoverTimeout bounds how long a planned stop waits for its replicas to be
	// taken over. Chosen, not measured.
	handoverTimeout = 20 * time.Second
)

var errIncompleteSets = errors.New("replica sets lack members")

// Options are the parts of a Service.
type Options struct {
	Maintainer *shard.Maintainer
	Views      *shard.Map
	Members    func() *membership.Members
	Settings   shard.PlanSettings
	// Interval is the pause between two rounds.
	Interval time.Duration
	Now      func() time.Time
	Logger   *zap.Logger
}

// Service keeps the replica sets whole. It is a suture service.
type Service struct {
	options Options
	started time.Time

	mutex sync.Mutex
	// goneSince is by incarnation when a node was first seen gone.
	goneSince map[string]time.Time
	// settled is set by the first round that found every set whole.
	settled atomic.Bool
}

// New makes a service.
func New(options Options) *Service {
	return &Service{options: options, started: options.Now(), goneSince: make(map[string]time.Time)}
}

// String names the service in the supervisor's messages.
func (r *Service) String() string { return "repair of replica sets" }

// Serve runs rounds until the context ends.
func (r *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.round(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// round repairs what it can, and records whether every set was whole.
func (r *Service) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	plan := r.options.Maintainer.Round(ctx, r.Situation())
	if isWhole(plan) && len(r.options.Views.Views()) > 0 {
		r.settled.Store(true)
	}
}

// isWhole tells that the plan found every set whole: none has lost its majority, and no
// member is to be replaced because it is gone or lost its data. Moves for other reasons,
// such as a leaving node, start from whole sets.
func isWhole(plan shard.Outcome) bool {
	if len(plan.Lost) > 0 {
		return false
	}
	return !slices.ContainsFunc(plan.Moves, func(move shard.Move) bool {
		return move.Reason == shard.ReasonForgotten || move.Reason == shard.ReasonGone
	})
}

// Check is a readiness check. A node that has started is ready once it has seen every
// set whole, so that a rolling restart that waits for readiness never takes a second
// member of a set. From then on it stays ready: a member that is lost elsewhere is no
// reason to send callers away.
func (r *Service) Check(context.Context) error {
	if !r.settled.Load() {
		return errIncompleteSets
	}
	return nil
}

// Situation returns what membership and the shard map say now.
func (r *Service) Situation() shard.Situation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	situation := shard.Situation{Now: now, WatchedSince: r.started, Views: r.options.Views.Views()}
	known := make(map[string]time.Time)
	for _, member := range r.options.Members().All() {
		node := shard.Node{
			Member:        Member(member),
			HasDataFolder: member.HasDataFolder,
			Leaving:       member.Leaving,
			Started:       member.Started,
		}
		if member.State == membership.Gone {
			node.GoneSince = r.goneSince[member.Incarnation]
			if node.GoneSince.IsZero() {
				node.GoneSince = now
			}
			known[member.Incarnation] = node.GoneSince
		}
		situation.Nodes = append(situation.Nodes, node)
	}
	r.goneSince = known
	return situation
}

// AwaitHandover waits, for handoverTimeout at the longest, until other nodes have taken
// over the replicas of the leaving incarnation as far as they can, and until no set
// would lose its majority without it.
func (r *Service) AwaitHandover(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		waiting := r.heldBack(incarnation)
		if waiting == 0 {
			return
		}
		r.options.Logger.Debug("waiting for the handover of replicas", zap.Int("sets", waiting))
		_ = sleep.For(ctx, handoverPause)
	}
	r.options.Logger.Warn("stopping with replicas that nobody took over", zap.Int("sets", r.heldBack(incarnation)))
}

// heldBack counts the sets that still need the incarnation: those whose replica is to be
// moved by a plan without a bound on moves, and those that would have no majority.
func (r *Service) heldBack(incarnation string) int {
	situation := r.Situation()
	unbounded := r.options.Settings
	unbounded.Moves = len(situation.Views) + 1
	moving := make(map[uint32]bool)
	for _, move := range shard.Plan(situation, unbounded).Moves {
		moving[move.View.Shard] = true
	}
	count := 0
	for _, view := range situation.Views {
		if isMember(view, incarnation) && (moving[view.Shard] || r.othersAnswering(view, incarnation) < view.Quorum()) {
			count++
		}
	}
	return count
}

// isMember tells whether the incarnation is a member of the view.
func isMember(view register.View, incarnation string) bool {
	for _, member := range view.Members {
		if member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// othersAnswering counts the members beside the incarnation that are alive.
func (r *Service) othersAnswering(view register.View, incarnation string) int {
	members := r.options.Members()
	count := 0
	for _, member := range view.Members {
		if member.Incarnation != incarnation && members.Alive(member.Incarnation) {
			count++
		}
	}
	return count
}

// Member converts a node of the membership.
func Member(member membership.Member) register.Member {
	return register.Member{
		Node:        member.Node,
		Incarnation: member.Incarnation,
		Address:     member.Address,
		Zone:        member.Zone,
	}
}
