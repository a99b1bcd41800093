package shard

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/register"
)

// Maintainer runs one node's part of the repair and reconfiguration of replica sets.
type Maintainer struct {
	node      string
	replica   *Replica
	installer *Installer
	driver    *Driver
	settings  PlanSettings
	logger    *zap.Logger
	// lastUnfinished and lastUnready map shards to the epochs found in the previous round.
	// The maintainer acts only on what it finds twice, which leaves the node that is working
	// on it the time between two rounds to finish.
	lastUnfinished map[uint32]uint64
	lastUnready    map[uint32]uint64
	// lastLost holds the sets that were lost in the previous round, by shard.
	lastLost map[uint32]lostSetState
}

// NewMaintainer returns the maintainer of the named node.
func NewMaintainer(node string, local *Replica, installer *Installer, driver *Driver, settings PlanSettings, logger *zap.Logger) *Maintainer {
	return &Maintainer{
		node:           node,
		replica:        local,
		installer:      installer,
		driver:         driver,
		settings:       settings,
		logger:         logger,
		lastUnfinished: make(map[uint32]uint64),
		lastUnready:    make(map[uint32]uint64),
	}
}

// RunOnce installs the shards that this node's replica missed, finishes changes that other
// drivers left unfinished, drives the planned moves that are assigned to this node, and
// drops data that is no longer needed. It returns the plan. Call it every few seconds;
// calls must not overlap.
func (m *Maintainer) RunOnce(ctx context.Context, situation ClusterState) PlanResult {
	m.installer.CatchUp(ctx)
	outcome := Plan(situation, m.settings)
	var group errgroup.Group
	group.SetLimit(max(1, m.settings.MaxMoves))
	for _, view := range m.stalledChanges() {
		group.Go(func() error { return m.drive(ctx, view, nil, "unfinished") })
	}
	for _, view := range m.stalledInstalls() {
		group.Go(func() error { return m.refresh(ctx, view) })
	}
	for _, move := range outcome.Moves {
		if move.Driver == m.node {
			group.Go(func() error { return m.drive(ctx, move.View, move.Members, string(move.Reason)) })
		}
	}
	// Failures are logged; the next round retries.
	_ = group.Wait()
	if err := m.installer.DropUnneededShards(ctx); err != nil {
		m.logger.Warn("shards not swept", zap.Error(err))
	}
	m.reportLost(outcome.Lost)
	return outcome
}

// reportLost logs each lost set whose state has changed since the previous round.
func (m *Maintainer) reportLost(sets []LostSet) {
	previous := m.lastLost
	m.lastLost = make(map[uint32]lostSetState, len(sets))
	for _, lost := range sets {
		key := lostSetState{epoch: lost.View.Epoch, unreachable: lost.Unreachable, wiped: lost.Wiped}
		m.lastLost[lost.View.Shard] = key
		if previous[lost.View.Shard] == key {
			continue
		}
		m.logger.Error("replica set has lost its majority", zap.Uint32("shard", lost.View.Shard),
			zap.Uint64("epoch", lost.View.Epoch), zap.Int("gone", lost.Unreachable), zap.Int("forgotten", lost.Wiped),
			zap.Bool("final", lost.IsPermanent()))
	}
}

// lostSetState is the reported state of a set that has lost its majority.
type lostSetState struct {
	epoch              uint64
	unreachable, wiped int
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

// stalledChanges returns the views whose change of epoch was unfinished in the previous
// round too.
func (m *Maintainer) stalledChanges() []register.View {
	return seenAgain(&m.lastUnfinished, m.replica.Unfinished())
}

// stalledInstalls returns the views that this replica is a member of but couldn't install
// in two rounds, because the sources are gone or unknown to it. A new epoch with the same
// members makes it a member with data.
func (m *Maintainer) stalledInstalls() []register.View {
	var views []register.View
	for _, shard := range m.replica.Unready() {
		if view, found := m.replica.views.View(shard); found {
			views = append(views, view)
		}
	}
	return seenAgain(&m.lastUnready, views)
}

// seenAgain returns the views that are in seen with the same epoch, and replaces seen with
// the given views.
func seenAgain(seen *map[uint32]uint64, views []register.View) []register.View {
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
