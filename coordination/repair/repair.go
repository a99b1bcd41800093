// Package repair keeps replica sets complete. It periodically combines the state of the
// membership and the shard map, and has a shard.Maintainer execute the resulting plan.
//
// It tracks since when each node has been gone, and whether this node has ever seen every
// set complete. Package membership detects failed nodes; package shard plans and executes
// changes of the sets.
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
	handoverPollInterval = 200 * time.Millisecond
	// handoverTimeout limits how long a planned stop waits for other nodes to take over
	// its replicas.
	handoverTimeout = 20 * time.Second
)

var errIncompleteSets = errors.New("replica sets lack members")

// Options configures a Service.
type Options struct {
	Maintainer *shard.Maintainer
	Views      *shard.Map
	Members    func() *membership.Members
	Settings   shard.PlanSettings
	// Interval is the time between two rounds.
	Interval time.Duration
	Now      func() time.Time
	Logger   *zap.Logger
}

// Service repairs the replica sets. It implements suture.Service.
type Service struct {
	options Options
	started time.Time

	mutex sync.Mutex
	// goneSince maps the incarnation of each gone node to when it was first seen gone.
	goneSince map[string]time.Time
	// seenComplete is set by the first round that found every set complete.
	seenComplete atomic.Bool
}

// New returns a service that has not seen the sets complete.
func New(options Options) *Service {
	return &Service{options: options, started: options.Now(), goneSince: make(map[string]time.Time)}
}

// String returns the service name for the supervisor's log messages.
func (r *Service) String() string { return "repair of replica sets" }

// Serve runs rounds until the context ends.
func (r *Service) Serve(ctx context.Context) error {
	defer r.options.Maintainer.Wait()
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.runRound(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runRound plans one round of repair and starts its work, and records if every set was
// complete.
func (r *Service) runRound(ctx context.Context) {
	plan := r.options.Maintainer.RunOnce(ctx, r.Situation())
	if isComplete(plan) && r.options.Maintainer.HoldsShards() && len(r.options.Views.Views()) > 0 {
		r.seenComplete.Store(true)
	}
}

// isComplete reports whether the plan found every set complete: none has lost its quorum,
// and no member is to be replaced because it is gone or lost its data. Sets that change for
// other reasons, such as a leaving node, are complete.
func isComplete(plan shard.PlanResult) bool {
	if len(plan.Lost) > 0 {
		return false
	}
	return !slices.ContainsFunc(plan.Moves, func(move shard.Move) bool {
		return move.Reason == shard.ReasonNewIncarnation || move.Reason == shard.ReasonGone
	})
}

// Check is a readiness check. A node becomes ready once it has seen every set complete and
// holds the data of its shards, so that a rolling restart that waits for readiness never stops a second member of a set.
// Afterwards it stays ready, since the loss of a member elsewhere must not make it
// unavailable.
func (r *Service) Check(context.Context) error {
	if !r.seenComplete.Load() {
		return errIncompleteSets
	}
	return nil
}

// Situation returns the current input of a plan, from the membership and the shard map.
func (r *Service) Situation() shard.ClusterState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	situation := shard.ClusterState{Now: now, ObservedSince: r.started, Views: r.options.Views.Views()}
	goneSince := make(map[string]time.Time)
	for _, member := range r.options.Members().All() {
		node := shard.Node{
			Member:        RegisterMember(member),
			HasDataFolder: member.HasDataFolder,
			Leaving:       member.Leaving,
			Started:       member.Started,
		}
		if member.State == membership.Gone {
			node.GoneSince = r.goneSince[member.Incarnation]
			if node.GoneSince.IsZero() {
				node.GoneSince = now
			}
			goneSince[member.Incarnation] = node.GoneSince
		}
		situation.Nodes = append(situation.Nodes, node)
	}
	r.goneSince = goneSince
	return situation
}

// AwaitHandover waits until other nodes have taken over the replicas of the leaving
// incarnation as far as possible and every set keeps its quorum without it, or until
// handoverTimeout has passed.
func (r *Service) AwaitHandover(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		remaining := r.setsNeeding(incarnation)
		if remaining == 0 {
			return
		}
		r.options.Logger.Debug("waiting for the handover of replicas", zap.Int("sets", remaining))
		_ = sleep.For(ctx, handoverPollInterval)
	}
	r.options.Logger.Warn("stopping before the handover of replicas completed", zap.Int("sets", r.setsNeeding(incarnation)))
}

// setsNeeding returns the number of sets that still need the incarnation: those whose
// replica would be moved by a plan without a limit on moves, and those that would lose
// their quorum without it.
func (r *Service) setsNeeding(incarnation string) int {
	situation := r.Situation()
	unlimited := r.options.Settings
	unlimited.MaxMoves = len(situation.Views) + 1
	moving := make(map[uint32]bool)
	for _, move := range shard.Plan(situation, unlimited).Moves {
		moving[move.View.Shard] = true
	}
	count := 0
	for _, view := range situation.Views {
		if isMember(view, incarnation) && (moving[view.Shard] || r.otherMembersAlive(view, incarnation) < view.Quorum()) {
			count++
		}
	}
	return count
}

// isMember reports whether the incarnation is a member of the view.
func isMember(view register.View, incarnation string) bool {
	for _, member := range view.Members {
		if member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// otherMembersAlive returns the number of live members other than the incarnation.
func (r *Service) otherMembersAlive(view register.View, incarnation string) int {
	members := r.options.Members()
	count := 0
	for _, member := range view.Members {
		if member.Incarnation != incarnation && members.Alive(member.Incarnation) {
			count++
		}
	}
	return count
}

// RegisterMember converts a member of the cluster to a member of a replica set.
func RegisterMember(member membership.Member) register.Member {
	return register.Member{
		Node:        member.Node,
		Incarnation: member.Incarnation,
		Address:     member.Address,
		Zone:        member.Zone,
	}
}
