package node

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
)

const (
	// repairInterval is the pause between two rounds of the maintainer.
	repairInterval = time.Second
	// repairRoundTimeout bounds one round, so that a member that hangs while it
	// copies doesn't stop the repair of other sets.
	repairRoundTimeout = time.Minute
	// goneGrace is how long a node must have been gone, beyond the time it took
	// to find that out, before its replicas are replaced.
	goneGrace = 5 * time.Second
	// movesAtOnce bounds the sets that change at a time.
	movesAtOnce = 8
	// handoverTimeout bounds how long a planned stop waits for its replicas to
	// be taken over.
	handoverTimeout = 20 * time.Second
)

var errIncompleteSets = errors.New("replica sets lack members")

// repair keeps the replica sets whole. It is a suture service.
type repair struct {
	maintainer *shard.Maintainer
	views      *shard.Map
	members    func() *membership.Members
	settings   shard.PlanSettings
	started    time.Time
	now        func() time.Time
	logger     *zap.Logger
	mutex      sync.Mutex
	goneSince  map[string]time.Time
	// settled is set by the first round that found every set whole.
	settled atomic.Bool
}

func newRepair(n *Node, driver *shard.Driver) *repair {
	settings := shard.PlanSettings{
		Factor:    n.settings.ReplicationFactor,
		GoneAfter: goneGrace,
		Moves:     movesAtOnce,
	}
	return &repair{
		maintainer: shard.NewMaintainer(n.settings.Name, n.replica, n.installer, driver, settings, n.logger),
		views:      n.views,
		members:    n.membership.Members,
		settings:   settings,
		started:    time.Now(),
		now:        time.Now,
		logger:     n.logger,
		goneSince:  make(map[string]time.Time),
	}
}

// Serve runs rounds until the context ends.
func (r *repair) Serve(ctx context.Context) error {
	ticker := time.NewTicker(repairInterval)
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

func (r *repair) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, repairRoundTimeout)
	defer cancel()
	outcome := r.maintainer.Round(ctx, r.situation())
	incomplete := len(outcome.Lost) > 0
	for _, move := range outcome.Moves {
		incomplete = incomplete || move.Reason == shard.ReasonForgotten || move.Reason == shard.ReasonGone
	}
	if !incomplete && len(r.views.Views()) > 0 {
		r.settled.Store(true)
	}
}

// check is a readiness check: a node that has started is ready only once it has
// seen every set whole, so that a rolling restart that waits for it never takes a
// second member of a set. Afterwards a lost member elsewhere is no reason to
// send callers away.
func (r *repair) check(context.Context) error {
	if !r.settled.Load() {
		return errIncompleteSets
	}
	return nil
}

// situation is what membership and the shard map say now.
func (r *repair) situation() shard.Situation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	situation := shard.Situation{Now: now, WatchedSince: r.started, Views: r.views.Views()}
	known := make(map[string]time.Time)
	for _, member := range r.members().All() {
		node := shard.Node{
			Member:        toShardMember(member),
			HasDataFolder: member.HasDataFolder,
			Leaving:       member.Leaving,
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

// awaitHandover waits until the replicas of the leaving incarnation are taken
// over, as far as other nodes can take them, and until no set would lose its
// majority with it.
func (r *repair) awaitHandover(ctx context.Context, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		waiting := r.heldBack(incarnation)
		if waiting == 0 {
			return
		}
		r.logger.Debug("waiting for the handover of replicas", zap.Int("sets", waiting))
		wait(ctx, bootstrapPause)
	}
	r.logger.Warn("stopping with replicas that nobody took over", zap.Int("sets", r.heldBack(incarnation)))
}

// heldBack counts the sets that still need the incarnation.
func (r *repair) heldBack(incarnation string) int {
	situation := r.situation()
	unbounded := r.settings
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

func (r *repair) othersAnswering(view register.View, incarnation string) int {
	members := r.members()
	count := 0
	for _, member := range view.Members {
		if member.Incarnation != incarnation && members.Alive(member.Incarnation) {
			count++
		}
	}
	return count
}
