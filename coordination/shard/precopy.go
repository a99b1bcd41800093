package shard

import (
	"context"
	"slices"
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
	var copies errgroup.Group
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true}
	for _, member := range proposed.Members {
		if slices.Contains(current.Members, member) {
			continue
		}
		copies.Go(func() error {
			reply, err := d.members.Install(ctx, member, request)
			return merry.Prependf(replyError(reply, err), "node %s", member.Node)
		})
	}
	probeErr := d.probeMembers(ctx, current, proposed)
	if probeErr == nil {
		d.backfillTurns(ctx, current, proposed)
	}
	copyErr := copies.Wait()
	if probeErr != nil {
		return probeErr
	}
	return copyErr
}

// probeMembers asks the current members whether they hold the current epoch. It skips a
// member whose node has another incarnation in the proposed view, since the address
// belongs to that incarnation now.
func (d *Driver) probeMembers(ctx context.Context, current, proposed register.View) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer d.clock.AfterFunc(d.settings.RequestTimeout, stop)()
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true}
	var probes errgroup.Group
	for _, member := range current.Members {
		if isReplaced(member, proposed) {
			continue
		}
		probes.Go(func() error {
			reply, err := d.members.Install(ctx, member, request)
			switch {
			case err == nil && reply.Refusal == register.RefusalNotReady:
				return merry.Errorf("node %s doesn't hold epoch %d of shard %d yet", member.Node, current.Epoch, current.Shard)
			case slices.Contains(proposed.Members, member):
				return merry.Prependf(replyError(reply, err), "node %s", member.Node)
			}
			return nil
		})
	}
	return probes.Wait()
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
