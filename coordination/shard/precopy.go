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

// backfillTimeout is how long members that stay may take to copy ahead the turns that
// they lack. What they haven't copied by then they copy while the set is sealed:
// longer would keep a set without its redundancy for the sake of a short seal.
const backfillTimeout = 3 * time.Second

// precopyTurns has the members of the proposed view copy turns while the current
// ones still serve, so that little is left once they are sealed: a turn is stored
// by a majority, so that each member lacks some. Each wanted member must answer,
// since a set that is decided with a member that is gone has no reserve left. No
// old member may still be copying the current epoch: what it copies from would be
// out of reach once that epoch has ended.
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
	probed := d.probeMembers(ctx, current, proposed)
	if probed == nil {
		d.backfillTurns(ctx, current, proposed)
	}
	copied := copies.Wait()
	if probed != nil {
		return probed
	}
	return copied
}

// probeMembers asks the current members whether they hold the current epoch. One whose
// place in the proposed view another incarnation of its node takes isn't asked:
// its address is that of the new one.
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
				return merry.Errorf("node %s doesn't hold epoch %d yet", member.Node, current.Epoch)
			case slices.Contains(proposed.Members, member):
				return merry.Prependf(replyError(reply, err), "node %s", member.Node)
			}
			return nil
		})
	}
	return probes.Wait()
}

// isReplaced tells whether the view has another incarnation of the member's node.
func isReplaced(member register.Member, proposed register.View) bool {
	return slices.ContainsFunc(proposed.Members, func(other register.Member) bool {
		return other.Node == member.Node && other.Incarnation != member.Incarnation
	})
}

// backfillTurns has the members that stay copy the turns that they lack, as far as they
// come in time. It is no condition of the change.
func (d *Driver) backfillTurns(ctx context.Context, current, proposed register.View) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer d.clock.AfterFunc(backfillTimeout, stop)()
	request := InstallRequest{Previous: current, Successor: proposed, TurnsOnly: true, Fill: true}
	var fills errgroup.Group
	for _, member := range current.Members {
		if !slices.Contains(proposed.Members, member) {
			continue
		}
		fills.Go(func() error {
			reply, err := d.members.Install(ctx, member, request)
			if err := replyError(reply, err); err != nil {
				d.logger.Info("turns not copied ahead to a member", zap.Uint32("shard", current.Shard),
					zap.String("member", member.Node), zap.Error(err))
			}
			return nil
		})
	}
	_ = fills.Wait()
}
