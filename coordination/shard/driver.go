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

// ErrNoMajority means that too few members answered for a step. The shard stays
// as far as it came; driving it again goes on from there.
var ErrNoMajority = merry.Sentinel("shard: no majority of the members answered")

// Driver carries shards from one epoch to the next. Any number of drivers may
// work on one shard; one that stops half way is finished by the next.
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

// NewDriver makes a driver that decides under the given incarnation's ballots
// and learns the views that it opens. Random is used under a lock.
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

// Drive ends the epoch of the current view and opens the next one with the
// wanted members, or with those that another driver got decided; without wanted
// members it only finishes what another driver began. It returns the
// view that it opened, or a newer one that it found open. Members that are
// slower than the majority are waited for until ctx ends.
func (d *Driver) Drive(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	if newest, found := d.views.View(current.Shard); found && newest.Epoch > current.Epoch {
		return newest, nil
	}
	successor, err := d.decideSuccessor(ctx, current, wanted)
	if err != nil {
		return register.View{}, merry.Prependf(err, "decide what follows epoch %d of shard %d", current.Epoch, current.Shard)
	}
	return d.completeChange(ctx, current, successor)
}

// Refresh gives the shard a new epoch with the same members, which brings in
// one that doesn't hold the current epoch's data and can't copy it any more.
func (d *Driver) Refresh(ctx context.Context, current register.View) (register.View, error) {
	successor, err := d.propose(ctx, current, current.Members)
	if err != nil {
		return register.View{}, merry.Prependf(err, "decide to refresh epoch %d of shard %d", current.Epoch, current.Shard)
	}
	return d.completeChange(ctx, current, successor)
}

// completeChange carries out the decision about the successor.
func (d *Driver) completeChange(ctx context.Context, current, successor register.View) (register.View, error) {
	if successor.Epoch > current.Epoch+1 {
		d.views.Learn(successor)
		return successor, nil
	}
	sealing := time.Now()
	if err := d.seal(ctx, current, successor); err != nil {
		return register.View{}, merry.Prependf(err, "seal epoch %d of shard %d", current.Epoch, current.Shard)
	}
	if err := d.installAndOpen(ctx, current, successor, sealing); err != nil {
		return register.View{}, merry.Prependf(err, "install epoch %d of shard %d", successor.Epoch, current.Shard)
	}
	return successor, nil
}

// decideSuccessor returns the successor view. Where the wanted members can't take part,
// it proposes nothing and only finds out what another driver got decided.
func (d *Driver) decideSuccessor(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	if len(wanted) == 0 {
		return d.runDecision(ctx, current, nil)
	}
	proposed := register.View{Shard: current.Shard, Epoch: current.Epoch + 1, Members: wanted}
	if err := proposed.Validate(); err != nil {
		return register.View{}, err
	}
	unable := d.precopyTurns(ctx, current, proposed)
	if unable == nil {
		return d.propose(ctx, current, wanted)
	}
	decided, err := d.runDecision(ctx, current, nil)
	if errors.Is(err, errUndecided) {
		return register.View{}, merry.Prepend(unable, "copy turns ahead")
	}
	return decided, err
}

// propose has the wanted members decided, or others that were proposed before.
func (d *Driver) propose(ctx context.Context, current register.View, wanted []register.Member) (register.View, error) {
	encoded, err := json.Marshal(register.View{Shard: current.Shard, Epoch: current.Epoch + 1, Members: wanted})
	if err != nil {
		return register.View{}, merry.Prepend(err, "encode view")
	}
	return d.runDecision(ctx, current, encoded)
}

// errUndecided is returned by a decision register that is only read.
var errUndecided = merry.Sentinel("shard: no successor is decided")

// runDecision has the members of the current epoch agree on the encoded view, nil to
// propose none, and returns the one that they agreed on. A newer epoch than the
// next is returned where a member says that it is open.
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
		// A member says that its epoch has ended: the decision has been made.
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

// installAndOpen has every member of the successor copy the shard, opens the successor
// once a majority of them has, and opens the others as they follow. Sealing is the time at
// which this driver began to end the previous epoch.
func (d *Driver) installAndOpen(ctx context.Context, current, successor register.View, sealing time.Time) error {
	installed := d.install(ctx, InstallRequest{Previous: current, Successor: successor})
	var ready []register.Member
	var last error
	var openedAfter time.Duration
	isOpen := false
	for range successor.Members {
		result := <-installed
		if result.err != nil {
			last = merry.Prependf(result.err, "node %s", result.member.Node)
			if view := result.reply.View; view != nil && view.Epoch >= successor.Epoch {
				isOpen = true
				d.views.Learn(*view)
			}
			continue
		}
		ready = append(ready, result.member)
		if len(ready) >= successor.Quorum() {
			if !isOpen {
				openedAfter = time.Since(sealing)
			}
			isOpen = true
			d.views.Learn(successor)
			d.open(ctx, successor, ready)
		}
	}
	if !isOpen {
		return merry.Wrap(ErrNoMajority, merry.AppendMessagef("%d of %d members installed: %v",
			len(ready), len(successor.Members), last))
	}
	d.logger.Info("shard opened", zap.Uint32("shard", successor.Shard), zap.Uint64("epoch", successor.Epoch),
		zap.Int("installed", len(ready)), zap.Int("members", len(successor.Members)),
		zap.Duration("opened_after", openedAfter), zap.Duration("took", time.Since(sealing)))
	return nil
}

// install has every member of the successor copy the shard. One result a member comes
// from the channel.
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

// installResult is how the copying of a shard ended at one member.
type installResult struct {
	member register.Member
	reply  archive.Reply
	err    error
}

// open tells the members that the view may be served. A member that isn't
// reached learns the view from others.
func (d *Driver) open(ctx context.Context, view register.View, members []register.Member) {
	for _, member := range members {
		reply, err := d.members.Open(ctx, member, OpenRequest{View: view})
		if err := replyError(reply, err); err != nil {
			d.logger.Info("replica set not opened at a member", zap.Uint32("shard", view.Shard), zap.Uint64("epoch", view.Epoch),
				zap.String("node", member.Node), zap.Error(err))
		}
	}
}

// runOnMajority runs the step at all members at once and returns when a majority
// has done it or can't any more.
func (d *Driver) runOnMajority(ctx context.Context, members []register.Member, step func(context.Context, register.Member) error) error {
	needed := register.View{Members: members}.Quorum()
	results := make(chan error, len(members))
	for _, member := range members {
		go func() { results <- merry.Prependf(step(ctx, member), "node %s", member.Node) }()
	}
	done := 0
	var last error
	for range members {
		if err := <-results; err != nil {
			last = err
			continue
		}
		done++
		if done == needed {
			return nil
		}
	}
	return merry.Wrap(ErrNoMajority, merry.AppendMessagef("%d of %d: %v", done, len(members), last))
}
