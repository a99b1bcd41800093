package shard

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"go.uber.org/zap"
)

// ErrNoMajority means that too few members completed a step. The shard keeps the steps
// that were completed, and the next Drive resumes from there.
var ErrNoMajority = merry.Sentinel("shard: no majority of the members answered")

// Driver moves shards from one epoch to the next. Any number of drivers may work on the
// same shard; a change that one leaves unfinished can be finished by any other.
type Driver struct {
	incarnation string
	members     Members
	views       *Map
	clock       register.Clock
	settings    register.Settings
	logger      *zap.Logger

	randomMutex sync.Mutex
	random      *rand.Rand
}

// NewDriver returns a driver that uses the given incarnation in its ballots and adds the
// views that it opens to views. The driver guards random with a lock.
func NewDriver(incarnation string, members Members, views *Map, clock register.Clock, random *rand.Rand, settings register.Settings, logger *zap.Logger) *Driver {
	return &Driver{
		incarnation: incarnation,
		members:     members,
		views:       views,
		clock:       clock,
		random:      random,
		settings:    settings,
		logger:      logger,
	}
}

// Drive ends the epoch of the current view and opens the next one with the wanted members,
// or with those of a successor that another driver got decided first. With no wanted
// members it only finishes a change that another driver began. It returns the view that it
// opened, or a newer open view that it found. After a majority has installed the view,
// Drive waits for the other members until ctx ends.
func (d *Driver) Drive(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	return d.drive(ctx, current, wanted, d.precopyTurns)
}

// Replace is like Drive, for a set that lost the data of a member. It doesn't wait for copies
// to new members: the next loss is tolerated once the remaining members hold all data, which
// takes less time.
func (d *Driver) Replace(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	return d.drive(ctx, current, wanted, d.shareTurns)
}

// preparation prepares the members of the proposed view before it is decided. If it fails, the
// view isn't proposed.
type preparation func(ctx context.Context, current, proposed register.View) error

func (d *Driver) drive(ctx context.Context, current register.View, wanted []register.Member, prepare preparation) (register.View, error) {
	if newest, found := d.views.View(current.Shard); found && newest.Epoch > current.Epoch {
		return newest, nil
	}
	successor, err := d.decideSuccessor(ctx, current, wanted, prepare)
	if err != nil {
		return register.View{}, merry.Prependf(err, "decide the successor of epoch %d of shard %d", current.Epoch, current.Shard)
	}
	return d.completeChange(ctx, current, successor)
}

// Refresh opens a new epoch with the same members, so that a member that lacks the data of
// the current epoch and can no longer copy it gets a copy.
func (d *Driver) Refresh(ctx context.Context, current register.View) (register.View, error) {
	successor, err := d.propose(ctx, current, current.Members)
	if err != nil {
		return register.View{}, merry.Prependf(err, "decide the refresh of epoch %d of shard %d", current.Epoch, current.Shard)
	}
	return d.completeChange(ctx, current, successor)
}

// completeChange seals the current epoch, then installs and opens the decided successor.
func (d *Driver) completeChange(ctx context.Context, current, successor register.View) (register.View, error) {
	if successor.Epoch > current.Epoch+1 {
		d.views.Learn(successor)
		return successor, nil
	}
	sealStarted := time.Now()
	if err := d.seal(ctx, current, successor); err != nil {
		return register.View{}, merry.Prependf(err, "seal epoch %d of shard %d", current.Epoch, current.Shard)
	}
	if err := d.installAndOpen(ctx, current, successor, sealStarted); err != nil {
		return register.View{}, merry.Prependf(err, "install epoch %d of shard %d", successor.Epoch, current.Shard)
	}
	return successor, nil
}

// decideSuccessor returns the decided successor of the current view. If the preparation fails,
// it proposes nothing and returns a successor only if one was decided already.
func (d *Driver) decideSuccessor(ctx context.Context, current register.View, wanted []register.Member, prepare preparation) (register.View, error) {
	if len(wanted) == 0 {
		return d.runDecision(ctx, current, nil)
	}
	proposed := register.View{Shard: current.Shard, Epoch: current.Epoch + 1, Members: wanted}
	if err := proposed.Validate(); err != nil {
		return register.View{}, err
	}
	prepareErr := prepare(ctx, current, proposed)
	if prepareErr == nil {
		return d.propose(ctx, current, wanted)
	}
	decided, err := d.runDecision(ctx, current, nil)
	if errors.Is(err, errUndecided) {
		return register.View{}, merry.Prepend(prepareErr, "precopy turns")
	}
	return decided, err
}

// propose proposes the wanted members and returns the decided view, which may be one that
// was proposed earlier.
func (d *Driver) propose(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	encoded, err := json.Marshal(register.View{Shard: current.Shard, Epoch: current.Epoch + 1, Members: wanted})
	if err != nil {
		return register.View{}, merry.Prepend(err, "encode view")
	}
	return d.runDecision(ctx, current, encoded)
}

// errUndecided is returned by runDecision if it has nothing to propose and finds no proposal.
var errUndecided = merry.Sentinel("shard: no successor is decided")

// runDecision proposes the encoded view to the members of the current epoch, or only reads
// their decision if encoded is nil, and returns the decided view. If a member reports a
// newer open epoch, it returns that view instead.
func (d *Driver) runDecision(ctx context.Context, current register.View, encoded []byte) (register.View, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	views := &decisionViews{current: current, onNewerView: cancel}
	client := register.NewClient(d.incarnation, d.members, views, d.clock, d.newRandom(), d.settings)
	decided, err := client.Apply(ctx, current.Shard, successorKey(current.Epoch), func(found []byte) ([]byte, error) {
		switch {
		case found != nil:
			return found, nil
		case encoded == nil:
			return nil, errUndecided
		}
		return encoded, nil
	})
	if next := views.newestView(); next.Epoch > current.Epoch {
		// A member reported that its epoch has ended, so the decision was made before.
		return next, nil
	}
	if err != nil {
		return register.View{}, err
	}
	var view register.View
	err = json.Unmarshal(decided, &view)
	return view, merry.Prepend(err, "decode view")
}

// newRandom returns a random source for one client.
func (d *Driver) newRandom() *rand.Rand {
	d.randomMutex.Lock()
	defer d.randomMutex.Unlock()
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

// seal ends the current epoch at a majority of its members.
func (d *Driver) seal(ctx context.Context, current, successor register.View) error {
	return d.runOnMajority(ctx, current.Members, func(ctx context.Context, member register.Member) error {
		request := SealRequest{Fence: fenceOf(current, member), Successor: successor}
		reply, err := d.members.Seal(ctx, member, request)
		return replyError(reply, err)
	})
}

// installAndOpen has every member of the successor copy the shard, opens the successor once
// a majority has done so, and opens the other members as they finish. sealStarted is when
// this driver began to seal the previous epoch.
func (d *Driver) installAndOpen(ctx context.Context, current, successor register.View, sealStarted time.Time) error {
	installed := d.install(ctx, InstallRequest{Previous: current, Successor: successor})
	var ready []register.Member
	var lastErr error
	var openedAfter time.Duration
	isOpen := false
	for range successor.Members {
		result := <-installed
		if result.err != nil {
			lastErr = merry.Prependf(result.err, "node %s", result.member.Node)
			if view := result.reply.View; view != nil && view.Epoch >= successor.Epoch {
				isOpen = true
				d.views.Learn(*view)
			}
			continue
		}
		ready = append(ready, result.member)
		if len(ready) >= successor.Quorum() {
			if !isOpen {
				openedAfter = time.Since(sealStarted)
			}
			isOpen = true
			d.views.Learn(successor)
			d.open(ctx, successor, ready)
		}
	}
	if !isOpen {
		return merry.Wrap(ErrNoMajority, merry.AppendMessagef("%d of %d members installed the shard, last error: %v",
			len(ready), len(successor.Members), lastErr))
	}
	d.logger.Info("shard opened", zap.Uint32("shard", successor.Shard), zap.Uint64("epoch", successor.Epoch),
		zap.Int("installed", len(ready)), zap.Int("members", len(successor.Members)),
		zap.Duration("opened_after", openedAfter), zap.Duration("took", time.Since(sealStarted)))
	return nil
}

// install has every member of the successor copy the shard. The channel receives one result
// for each member.
func (d *Driver) install(ctx context.Context, request InstallRequest) <-chan installResult {
	members := request.Successor.Members
	installed := make(chan installResult, len(members))
	for _, member := range members {
		go func() {
			reply, err := d.members.Install(ctx, member, request)
			installed <- installResult{member: member, reply: reply, err: replyError(reply, err)}
		}()
	}
	return installed
}

// installResult is the outcome of the installation on one member.
type installResult struct {
	member register.Member
	reply  archive.Reply
	err    error
}

// open tells the members that they may serve the view. A member that can't be reached
// learns the view by gossip.
func (d *Driver) open(ctx context.Context, view register.View, members []register.Member) {
	for _, member := range members {
		reply, err := d.members.Open(ctx, member, OpenRequest{View: view})
		if err := replyError(reply, err); err != nil {
			d.logger.Info("replica set not opened at a member", zap.Uint32("shard", view.Shard), zap.Uint64("epoch", view.Epoch),
				zap.String("node", member.Node), zap.Error(err))
		}
	}
}

// runOnMajority runs the step on all members concurrently and returns once a majority has
// completed it, or with ErrNoMajority once all have answered.
func (d *Driver) runOnMajority(ctx context.Context, members []register.Member, step func(context.Context, register.Member) error) error {
	needed := register.View{Members: members}.Quorum()
	results := make(chan error, len(members))
	for _, member := range members {
		go func() { results <- merry.Prependf(step(ctx, member), "node %s", member.Node) }()
	}
	completed := 0
	var lastErr error
	for range members {
		if err := <-results; err != nil {
			lastErr = err
			continue
		}
		completed++
		if completed == needed {
			return nil
		}
	}
	return merry.Wrap(ErrNoMajority, merry.AppendMessagef("%d of %d members completed the step, last error: %v", completed, len(members), lastErr))
}
