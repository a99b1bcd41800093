package shard

import (
	"context"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

const (
	// maxParallelWrites limits the writes of one installation that wait for the
	// medium; a disk store syncs those that wait together.
	maxParallelWrites = 256
	// maxTurnsPerPull limits the turns that one request asks for.
	maxTurnsPerPull = 128
)

// Installer copies shards to this node's replica.
type Installer struct {
	replica *Replica
	source  Source
	logger  *zap.Logger
	// precopySlot lets one shard be copied precopySlot at a time: turns that are served
	// meanwhile need the processor, the disk and the link too.
	precopySlot chan struct{}
}

// NewInstaller makes the installer of the replica.
func NewInstaller(local *Replica, source Source, logger *zap.Logger) *Installer {
	return &Installer{replica: local, source: source, logger: logger, precopySlot: make(chan struct{}, 1)}
}

// Install copies the shard from a majority of the previous view's members and
// returns once the copy has reached the medium. It may be repeated.
func (i *Installer) Install(ctx context.Context, request InstallRequest) archive.Reply {
	shard := request.Successor.Shard
	if !i.isAddressed(request) {
		return archive.Reply{Refusal: register.RefusalIncarnation, View: i.replica.openView(shard)}
	}
	if request.Previous.Epoch+1 != request.Successor.Epoch || request.Previous.Shard != shard {
		return archive.Reply{Refusal: register.RefusalEpoch}
	}
	release, err := i.replica.beginInstall(ctx, shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	defer release()
	if request.TurnsOnly {
		return i.precopyTurns(ctx, request)
	}
	// The previous epoch ends here at the latest. A replica that has been told
	// of a newer view by now may still be needed as a source of this one.
	wasFirst := request.Previous.Epoch == FirstEpoch && i.replica.isMember(request.Previous)
	if reply := i.replica.adoptView(request.Successor, wasFirst); reply.Refusal != register.RefusalNone {
		return reply
	}
	if i.replica.holdsData(request.Successor) {
		return archive.Reply{}
	}
	if err := i.copyShard(ctx, request); err != nil {
		return i.replyTo(request, err)
	}
	return i.replyTo(request, i.replica.finishInstall(request.Successor))
}

// isAddressed tells whether the request is meant for this replica: a member of the successor,
// or one of the previous view that copies turns ahead.
func (i *Installer) isAddressed(request InstallRequest) bool {
	return i.replica.isMember(request.Successor) || request.TurnsOnly && i.replica.isMember(request.Previous)
}

// precopyTurns copies turns. A member of the previous view that isn't asked to do so
// tells whether it holds that epoch.
func (i *Installer) precopyTurns(ctx context.Context, request InstallRequest) archive.Reply {
	isMember := i.replica.isMember(request.Previous)
	if isMember && !i.replica.holdsData(request.Previous) {
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	if isMember && !request.Fill {
		return archive.Reply{}
	}
	select {
	case i.precopySlot <- struct{}{}:
		defer func() { <-i.precopySlot }()
	case <-ctx.Done():
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	return i.replyTo(request, i.copyShard(ctx, request))
}

// replyTo logs and returns how an installation ended.
func (i *Installer) replyTo(request InstallRequest, err error) archive.Reply {
	if err == nil {
		return archive.Reply{}
	}
	i.logger.Warn("shard not installed", zap.Uint32("shard", request.Successor.Shard),
		zap.Uint64("epoch", request.Successor.Epoch), zap.Error(err))
	return archive.Reply{Refusal: register.RefusalNotReady}
}

// copyShard brings over what a majority of the previous members hold.
func (i *Installer) copyShard(ctx context.Context, request InstallRequest) error {
	listings, err := i.listMajority(ctx, request)
	if err != nil {
		return err
	}
	if err := i.copyTurns(ctx, request, listings); err != nil {
		return err
	}
	return i.replica.mergeRegisters(request.Successor.Shard, mergeListings(listings))
}

// copyTurns fetches the turns that the replica doesn't hold yet, each from a
// member that listed it.
func (i *Installer) copyTurns(ctx context.Context, request InstallRequest, listings []*listing) error {
	missing, err := i.replica.missingTurns(request.Successor.Shard, listings)
	if err != nil {
		return err
	}
	for _, from := range listings {
		wanted := from.intersect(missing)
		for batch := range slices.Chunk(wanted, maxTurnsPerPull) {
			if err := i.fetchTurns(ctx, request, from.member, batch, missing); err != nil {
				i.logger.Info("turns not copied", zap.String("node", from.member.Node), zap.Error(err))
				break
			}
		}
	}
	if len(missing) > 0 {
		return merry.Errorf("%d turns of shard %d can't be read from the members that listed them",
			len(missing), request.Successor.Shard)
	}
	return nil
}

// fetchTurns stores the wanted turns of one member and takes them out of missing.
func (i *Installer) fetchTurns(ctx context.Context, request InstallRequest, member register.Member, wanted []TurnReference, missing map[TurnReference]struct{}) error {
	pull := PullRequest{Fence: fenceOf(request.Previous, member), TurnsOnly: request.TurnsOnly, Wanted: wanted}
	var received []replica.Turn
	reply, err := i.pull(ctx, member, pull, func(item PullItem) error {
		if item.Turn != nil {
			received = append(received, *item.Turn)
		}
		return nil
	})
	if err := replyError(reply, err); err != nil {
		return err
	}
	err = i.replica.putTurns(request.Successor.Shard, received)
	if err != nil {
		return err
	}
	for _, turn := range received {
		delete(missing, referenceOf(turn))
	}
	return nil
}

// mergeListings combines the states of each register. What a majority of sealed
// members hold includes every decided value.
func mergeListings(listings []*listing) map[string]replica.Register {
	merged := make(map[string]replica.Register)
	for _, from := range listings {
		for key, state := range from.registers {
			merged[key] = register.Merge(merged[key], state)
		}
	}
	return merged
}

// missingTurns returns the listed turns that the replica doesn't hold.
func (r *Replica) missingTurns(shard uint32, listings []*listing) (map[TurnReference]struct{}, error) {
	missing := make(map[TurnReference]struct{})
	for _, from := range listings {
		maps.Copy(missing, from.turns)
	}
	err := r.eachTurnName(shard, func(turn replica.Turn) error {
		delete(missing, referenceOf(turn))
		return nil
	})
	return missing, merry.Prepend(err, "list the turns that are here")
}

func (r *Replica) putTurns(shard uint32, turns []replica.Turn) error {
	var group errgroup.Group
	group.SetLimit(maxParallelWrites)
	for _, turn := range turns {
		group.Go(func() error { return r.store.PutTurn(shard, turn) })
	}
	return merry.Prepend(group.Wait(), "store copied turns")
}

// mergeRegisters adds the copied states to what the replica holds. Highest
// ballots win, so nothing newer is overwritten.
func (r *Replica) mergeRegisters(shard uint32, copied map[string]replica.Register) error {
	var group errgroup.Group
	group.SetLimit(maxParallelWrites)
	for key, state := range copied {
		group.Go(func() error {
			held, err := r.store.LoadRegister(shard, key)
			if err != nil {
				return err
			}
			return r.store.SaveRegister(shard, key, markInherited(register.Merge(held, state), r.incarnation))
		})
	}
	return merry.Prepend(group.Wait(), "store copied registers")
}

// beginInstall waits until no other installation of the shard runs.
func (r *Replica) beginInstall(ctx context.Context, shard uint32) (release func(), err error) {
	p, err := r.shardReplica(shard)
	if err != nil {
		return nil, err
	}
	select {
	case p.installSlot <- struct{}{}:
		return func() { <-p.installSlot }, nil
	case <-ctx.Done():
		return nil, merry.Prepend(context.Cause(ctx), "wait for another installation")
	}
}

// holdsData tells whether the data of the view is installed here.
func (r *Replica) holdsData(view register.View) bool {
	p, err := r.acquire(view.Shard)
	if err != nil {
		return false
	}
	defer p.mutex.RUnlock()
	return p.state.DataEpoch >= view.Epoch
}

// finishInstall notes that the data of the view is held.
func (r *Replica) finishInstall(view register.View) error {
	p, err := r.acquire(view.Shard)
	if err != nil {
		return err
	}
	p.mutex.RUnlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := p.state
	next.DataEpoch = max(next.DataEpoch, view.Epoch)
	return r.setState(view.Shard, p, next)
}

func referenceOf(turn replica.Turn) TurnReference {
	return TurnReference{Program: turn.Program, Sequence: turn.Sequence, Digest: turn.Digest}
}
