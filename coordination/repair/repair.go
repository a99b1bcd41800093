// Package repair keeps replica sets whole: it puts what membership and the shard
// map say together and has a maintainer act on it, round after round.
package repair

import (
	"context"
	"errors"
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
	// doesn't stop the repair of other sets.
	roundTimeout = time.Minute
	// handoverPause is the pause between two looks at a handover.
	handoverPause = 200 * time.Millisecond
	// handoverTimeout bounds how long a planned stop waits for its replicas to
	// be taken over.
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
	options   Options
	started   time.Time
	mutex     sync.Mutex
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

func (r *Service) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	outcome := r.options.Maintainer.Round(ctx, r.Situation())
	incomplete := len(outcome.Lost) > 0
	for _, move := range outcome.Moves {
		incomplete = incomplete || move.Reason == shard.ReasonForgotten || move.Reason == shard.ReasonGone
	}
	if !incomplete && len(r.options.Views.Views()) > 0 {
		r.settled.Store(true)
	}
}

// Check is a readiness check: a node that has started is ready only once it has
// seen every set whole, so that a rolling restart that waits for it never takes a
// second member of a set. Afterwards a lost member elsewhere is no reason to
// send callers away.
func (r *Service) Check(context.Context) error {
	if !r.settled.Load() {
		return errIncompleteSets
	}
	return nil
}

// Situation is what membership and the shard map say now.
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

// AwaitHandover waits until the replicas of the leaving incarnation are taken
// over, as far as other nodes can take them, and until no set would lose its
// majority with it.
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

// heldBack counts the sets that still need the incarnation.
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

func isMember(view register.View, incarnation string) bool {
	for _, member := range view.Members {
		if member.Incarnation == incarnation {
			return true
		}
	}
	return false
}

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
