package shard

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/register"
)

// backfillTimeout limits how long the remaining members may precopy the turns that they
// lack. They copy the rest after the seal: a longer limit would delay the replacement
// of a lost member to save a little time in which the shard is sealed.
const backfillTimeout = 3 * time.Second

// precopyTurns has the members of the proposed view copy turns while the current epoch is
// still served, which shortens the time for which the shard is sealed: a turn is stored by
// a majority, so each member lacks some. Every member of the proposed view must answer,
// since a set with a member that is down tolerates fewer failures. No current member may
// still be installing the current epoch: it could no longer reach its sources once the
// epoch has ended.
func (d *Driver) precopyTurns(ctx context.Context, current, proposed register.View) error {
	copied := d.startPrecopies(ctx, current, proposed)
	probed := d.probeMembers(ctx, current, proposed)
	err := errors.Join(probed.failed, probed.notReady)
	if err == nil {
		d.backfillTurns(ctx, current, proposed)
	}
	copyErr := <-copied
	if err != nil {
		return err
	}
	return copyErr
}

// shareTurns has the members that remain copy the turns that they lack, as far as
// backfillTimeout allows, while the new members copy as well. The new members must answer, but
// it waits for their copies only if the members that remain can't serve the proposed view
// without them. Current members that lack the data of the epoch don't block the change, since
// the successor's members can be copied from those that hold it.
func (d *Driver) shareTurns(ctx context.Context, current, proposed register.View) error {
	copied := d.startPrecopies(ctx, current, proposed)
	probed := d.probeMembers(ctx, current, proposed)
	if err := errors.Join(probed.failed, d.probeNewMembers(ctx, current, proposed)); err != nil {
		return err
	}
	if probed.holding < current.Quorum() {
		// The set serves nothing, so that waiting for copies would only prolong that.
		return nil
	}
	d.backfillTurns(ctx, current, proposed)
	if probed.remaining < proposed.Quorum() {
		return <-copied
	}
	select {
	case err := <-copied:
		return err
	default:
		return nil
	}
}

// startPrecopies has the new members of the proposed view copy turns. The channel receives
// the first error, or nil, once all are done.
func (d *Driver) startPrecopies(ctx context.Context, current, proposed register.View) <-chan error {
	var copies errgroup.Group
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true}
	for _, member := range newMembers(current, proposed) {
		copies.Go(func() error {
			reply, err := d.members.Install(ctx, member, request)
			return merry.Prependf(replyError(reply, err), "node %s", member.Node)
		})
	}
	copied := make(chan error, 1)
	go func() { copied <- copies.Wait() }()
	return copied
}

// newMembers returns the members of the proposed view that aren't in the current one.
func newMembers(current, proposed register.View) []register.Member {
	return slices.DeleteFunc(slices.Clone(proposed.Members), func(member register.Member) bool {
		return slices.Contains(current.Members, member)
	})
}

// probeNewMembers returns an error unless all new members of the proposed view answer.
func (d *Driver) probeNewMembers(ctx context.Context, current, proposed register.View) error {
	ctx, stop := d.withRequestTimeout(ctx)
	defer stop()
	var probes errgroup.Group
	for _, member := range newMembers(current, proposed) {
		probes.Go(func() error {
			// A replica that isn't a member refuses to open the view, which changes nothing.
			_, err := d.members.Open(ctx, member, OpenRequest{View: current})
			return merry.Prependf(err, "node %s", member.Node)
		})
	}
	return probes.Wait()
}

// withRequestTimeout returns a context that ends after the timeout of one request, by the
// driver's clock.
func (d *Driver) withRequestTimeout(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stopTimer := d.clock.AfterFunc(d.settings.RequestTimeout, cancel)
	return ctx, func() {
		stopTimer()
		cancel()
	}
}

// probeResult is what the members of the current view answered to a probe.
type probeResult struct {
	// holding is the number of members that hold the current epoch; remaining is the number of
	// those that are in the proposed view.
	holding, remaining int
	// notReady names a member that doesn't hold it yet; failed is the error of a member of the
	// proposed view that didn't answer or refused.
	notReady, failed error
}

// probeMembers asks the current members whether they hold the current epoch. It skips a
// member whose node has another incarnation in the proposed view, since the address
// belongs to that incarnation now.
func (d *Driver) probeMembers(ctx context.Context, current, proposed register.View) probeResult {
	ctx, stop := d.withRequestTimeout(ctx)
	defer stop()
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true}
	var result probeResult
	var mutex sync.Mutex
	var probes sync.WaitGroup
	for _, member := range current.Members {
		if isReplaced(member, proposed) {
			continue
		}
		probes.Go(func() {
			reply, err := d.members.Install(ctx, member, request)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil && reply.Refusal == register.RefusalNone:
				result.holding++
				if slices.Contains(proposed.Members, member) {
					result.remaining++
				}
			case err == nil && reply.Refusal == register.RefusalNotReady:
				result.notReady = merry.Errorf("node %s doesn't hold epoch %d of shard %d yet", member.Node, current.Epoch, current.Shard)
			case slices.Contains(proposed.Members, member):
				result.failed = merry.Prependf(replyError(reply, err), "node %s", member.Node)
			}
		})
	}
	probes.Wait()
	return result
}

// isReplaced reports whether the view has another incarnation of the member's node.
func isReplaced(member register.Member, proposed register.View) bool {
	return slices.ContainsFunc(proposed.Members, func(other register.Member) bool {
		return other.Node == member.Node && other.Incarnation != member.Incarnation
	})
}

// backfillTurns has the remaining members copy the turns that they lack, as far as
// backfillTimeout allows. Failures are logged and don't stop the change.
func (d *Driver) backfillTurns(ctx context.Context, current, proposed register.View) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer d.clock.AfterFunc(backfillTimeout, stop)()
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true, Backfill: true}
	var fills errgroup.Group
	for _, member := range current.Members {
		if !slices.Contains(proposed.Members, member) {
			continue
		}
		fills.Go(func() error {
			reply, err := d.members.Install(ctx, member, request)
			if err := replyError(reply, err); err != nil {
				d.logger.Info("member did not precopy missing turns", zap.Uint32("shard", current.Shard),
					zap.String("member", member.Node), zap.Error(err))
			}
			return nil
		})
	}
	_ = fills.Wait()
}
