package shard

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/register"
)

// jobTimeout limits one job of a maintainer, so that a member that hangs doesn't keep it from
// being tried again.
const jobTimeout = time.Minute

// failedInstallsBeforeRefresh is how often an installation must have failed before the node
// asks for a new epoch with the same members.
const failedInstallsBeforeRefresh = 2

// Maintainer runs one node's part of the repair and reconfiguration of replica sets. Each
// shard is worked on independently of the others.
type Maintainer struct {
	node      string
	replica   *Replica
	installer *Installer
	driver    *Driver
	settings  PlanSettings
	logger    *zap.Logger
	jobs      *jobs
	// lastUnfinished maps shards to the epochs found in the previous round. The maintainer
	// acts only on what it finds twice, which leaves the node that is working on it the time
	// between two rounds to finish.
	lastUnfinished map[uint32]uint64
	// lastLost holds the sets that were lost in the previous round, by shard.
	lastLost map[uint32]lostSetState

	mutex sync.Mutex
	// failedInstalls counts the failed installations in a row, by shard.
	failedInstalls map[uint32]failedInstall
}

// failedInstall counts the failed installations of one epoch.
type failedInstall struct {
	epoch uint64
	count int
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
		jobs:           newJobs(),
		lastUnfinished: make(map[uint32]uint64),
		failedInstalls: make(map[uint32]failedInstall),
	}
}

// RunOnce starts jobs that install the shards that this node's replica missed, finish changes
// that other drivers left unfinished, drive the planned moves that are assigned to this node,
// and drop data that is no longer needed. It doesn't wait for them: they end with ctx or after
// jobTimeout, and a shard that is copied holds up no other. It returns the plan. Call it every
// few seconds; calls must not overlap.
func (m *Maintainer) RunOnce(ctx context.Context, situation ClusterState) PlanResult {
	for _, missing := range m.replica.missingShards() {
		m.start(ctx, jobInstall, missing.View.Shard, func(ctx context.Context) { m.install(ctx, missing) })
	}
	for _, view := range m.stalledChanges() {
		m.start(ctx, jobFinish, view.Shard, func(ctx context.Context) {
			opened, err := m.driver.Drive(ctx, view, nil)
			m.report(view, opened, "unfinished", err)
		})
	}
	for _, view := range m.stalledInstalls() {
		m.start(ctx, jobRefresh, view.Shard, func(ctx context.Context) {
			opened, err := m.driver.Refresh(ctx, view)
			m.report(view, opened, "this node doesn't hold the shard", err)
		})
	}
	outcome := Plan(situation, m.settings)
	for _, move := range outcome.Moves {
		if move.Driver == m.node {
			m.startMove(ctx, move)
		}
	}
	m.start(ctx, jobSweep, 0, func(ctx context.Context) {
		if err := m.installer.DropUnneededShards(ctx); err != nil {
			m.logger.Warn("shards not swept", zap.Error(err))
		}
	})
	m.reportLost(outcome.Lost)
	return outcome
}

// HoldsShards reports whether this node's replica holds the data of each open view that
// includes it.
func (m *Maintainer) HoldsShards() bool { return len(m.replica.Unready()) == 0 }

// Wait waits until the jobs have ended that RunOnce started.
func (m *Maintainer) Wait() { m.jobs.wait() }

// start starts a job, unless one of its kind is running for the shard.
func (m *Maintainer) start(ctx context.Context, kind jobKind, shard uint32, run func(context.Context)) {
	m.jobs.start(jobKey{kind: kind, shard: shard}, func() {
		ctx, cancel := context.WithTimeout(ctx, jobTimeout)
		defer cancel()
		run(ctx)
	})
}

// startMove starts to drive the move, unless MaxMoves moves are being driven. A move that
// replaces a lost member doesn't wait for one that was planned for another reason.
func (m *Maintainer) startMove(ctx context.Context, move Move) {
	kind, drive := jobMove, m.driver.Drive
	if move.Reason.isLoss() {
		kind, drive = jobReplace, m.driver.Replace
	}
	if m.jobs.count(kind) >= max(1, m.settings.MaxMoves) {
		return
	}
	m.start(ctx, kind, move.View.Shard, func(ctx context.Context) {
		opened, err := drive(ctx, move.View, move.Members)
		m.report(move.View, opened, string(move.Reason), err)
	})
}

// install installs the missing shard and counts the failures in a row.
func (m *Maintainer) install(ctx context.Context, missing shardState) {
	m.installer.catchUpShard(ctx, missing)
	isInstalled := m.replica.holdsData(missing.View)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	failed := m.failedInstalls[missing.View.Shard]
	if failed.epoch != missing.View.Epoch {
		failed = failedInstall{epoch: missing.View.Epoch}
	}
	failed.count++
	if isInstalled {
		failed = failedInstall{}
	}
	m.failedInstalls[missing.View.Shard] = failed
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

func (m *Maintainer) report(view, opened register.View, reason string, err error) {
	if err != nil {
		m.logger.Warn("replica set not changed", zap.Uint32("shard", view.Shard),
			zap.Uint64("epoch", view.Epoch), zap.String("reason", reason), zap.Error(err))
		return
	}
	m.logger.Info("replica set changed", zap.Uint32("shard", view.Shard),
		zap.Uint64("epoch", opened.Epoch), zap.String("reason", reason))
}

// stalledChanges returns the views whose change of epoch was unfinished in the previous
// round too.
func (m *Maintainer) stalledChanges() []register.View {
	return seenAgain(&m.lastUnfinished, m.replica.Unfinished())
}

// stalledInstalls returns the views that this replica is a member of but couldn't install
// repeatedly, because the sources are gone or unknown to it. A new epoch with the same
// members makes it a member with data.
func (m *Maintainer) stalledInstalls() []register.View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var views []register.View
	for _, shard := range m.replica.Unready() {
		view, found := m.replica.views.View(shard)
		failed := m.failedInstalls[shard]
		if found && failed.epoch == view.Epoch && failed.count >= failedInstallsBeforeRefresh {
			m.failedInstalls[shard] = failedInstall{}
			views = append(views, view)
		}
	}
	return views
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
