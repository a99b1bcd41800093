package shard

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/register"
)

// Maintainer does one node's share of keeping the replica sets whole.
type Maintainer struct {
	node      string
	replica   *Replica
	installer *Installer
	driver    *Driver
	settings  PlanSettings
	logger    *zap.Logger
	// unfinished and unready hold what the round before found, so that whoever
	// is at work on it has had the time between two rounds.
	unfinished map[uint32]uint64
	unready    map[uint32]uint64
	// lost are the sets that were reported as lost in the round before.
	lost map[uint32]lostKey
}

// NewMaintainer makes the maintainer of the named node.
func NewMaintainer(node string, local *Replica, installer *Installer, driver *Driver, settings PlanSettings, logger *zap.Logger) *Maintainer {
	return &Maintainer{
		node:       node,
		replica:    local,
		installer:  installer,
		driver:     driver,
		settings:   settings,
		logger:     logger,
		unfinished: make(map[uint32]uint64),
		unready:    make(map[uint32]uint64),
	}
}

// Round copies what this node's replica missed, finishes changes that others
// left, drives the moves of the plan that are this node's, and drops what isn't
// needed any more. It returns the plan. Call it every few seconds, one at a
// time.
func (m *Maintainer) Round(ctx context.Context, situation Situation) Outcome {
	m.installer.CatchUp(ctx)
	outcome := Plan(situation, m.settings)
	var group errgroup.Group
	group.SetLimit(max(1, m.settings.Moves))
	for _, view := range m.abandoned() {
		group.Go(func() error { return m.drive(ctx, view, nil, "unfinished") })
	}
	for _, view := range m.stranded() {
		group.Go(func() error { return m.refresh(ctx, view) })
	}
	for _, move := range outcome.Moves {
		if move.Driver == m.node {
			group.Go(func() error { return m.drive(ctx, move.View, move.Members, string(move.Reason)) })
		}
	}
	// Failures are logged; the next round tries again.
	_ = group.Wait()
	if err := m.installer.Sweep(ctx); err != nil {
		m.logger.Warn("shards not swept", zap.Error(err))
	}
	m.reportLost(outcome.Lost)
	return outcome
}

// reportLost writes a line for each set that is lost in another way than at the
// round before.
func (m *Maintainer) reportLost(sets []LostSet) {
	lostBefore := m.lost
	m.lost = make(map[uint32]lostKey, len(sets))
	for _, lost := range sets {
		key := lostKey{epoch: lost.View.Epoch, gone: lost.Gone, forgotten: lost.Forgotten}
		m.lost[lost.View.Shard] = key
		if lostBefore[lost.View.Shard] == key {
			continue
		}
		m.logger.Error("replica set has lost its majority", zap.Uint32("shard", lost.View.Shard),
			zap.Uint64("epoch", lost.View.Epoch), zap.Int("gone", lost.Gone), zap.Int("forgotten", lost.Forgotten),
			zap.Bool("final", lost.IsFinal()))
	}
}

// lostKey is what is reported of a set that has lost its majority.
type lostKey struct {
	epoch           uint64
	gone, forgotten int
}

func (m *Maintainer) drive(ctx context.Context, view register.View, wanted []register.Member, reason string) error {
	opened, err := m.driver.Drive(ctx, view, wanted)
	return m.report(view, opened, reason, err)
}

func (m *Maintainer) refresh(ctx context.Context, view register.View) error {
	opened, err := m.driver.Refresh(ctx, view)
	return m.report(view, opened, "this node doesn't hold the shard", err)
}

func (m *Maintainer) report(view, opened register.View, reason string, err error) error {
	if err != nil {
		m.logger.Warn("replica set not changed", zap.Uint32("shard", view.Shard),
			zap.Uint64("epoch", view.Epoch), zap.String("reason", reason), zap.Error(err))
		return err
	}
	m.logger.Info("replica set changed", zap.Uint32("shard", view.Shard),
		zap.Uint64("epoch", opened.Epoch), zap.String("reason", reason))
	return nil
}

// abandoned returns the changes that were unfinished in the round before too.
func (m *Maintainer) abandoned() []register.View {
	return repeated(&m.unfinished, m.replica.Unfinished())
}

// stranded returns the shards that this replica should hold and couldn't copy
// in two rounds: the sources are gone, or it doesn't know them. A new epoch with
// the same members brings it in.
func (m *Maintainer) stranded() []register.View {
	var views []register.View
	for _, shard := range m.replica.Unready() {
		if view, found := m.replica.views.View(shard); found {
			views = append(views, view)
		}
	}
	return repeated(&m.unready, views)
}

// repeated returns the views that were seen at the same epoch before, and
// remembers these for the next time.
func repeated(seen *map[uint32]uint64, views []register.View) []register.View {
	var again []register.View
	next := make(map[uint32]uint64, len(views))
	for _, view := range views {
		if epoch, found := (*seen)[view.Shard]; found && epoch == view.Epoch {
			again = append(again, view)
		}
		next[view.Shard] = view.Epoch
	}
	*seen = next
	return again
}
