package shard

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

const (
	// maxParallelWrites limits the concurrent writes of one installation. A disk store groups
	// concurrent writes into one sync.
	maxParallelWrites = 256
	// maxTurnsPerPull limits the turns that one pull requests.
	maxTurnsPerPull = 64
	// maxConcurrentPulls limits the concurrent pulls of one installation from one member, so
	// that turns are fetched while others are written.
	maxConcurrentPulls = 2
)

// Installer copies the data of shards from other members to this node's replica.
type Installer struct {
	replica *Replica
	source  Source
	logger  *zap.Logger
	// precopySlot limits precopying to one shard at a time, since it competes with requests
	// for CPU, disk and network.
	precopySlot chan struct{}
}

// NewInstaller returns an installer for the local replica that copies from source.
func NewInstaller(local *Replica, source Source, logger *zap.Logger) *Installer {
	return &Installer{replica: local, source: source, logger: logger, precopySlot: make(chan struct{}, 1)}
}

// Install copies the shard from a majority of the members of the previous view and returns
// once the copy is durable. It is idempotent.
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
	// Adopting the successor ends the previous epoch on this replica. If a newer view has been
	// decided already, the install still goes on: that view may need this replica as a source.
	isFirstEpochMember := request.Previous.Epoch == FirstEpoch && i.replica.isMember(request.Previous)
	if reply := i.replica.adoptView(request.Successor, isFirstEpochMember); reply.Refusal != register.RefusalNone {
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

// isAddressed reports whether the request is meant for this replica: as a member of the
// successor, or as a member of the previous view that precopies turns.
func (i *Installer) isAddressed(request InstallRequest) bool {
	return i.replica.isMember(request.Successor) || request.TurnsOnly && i.replica.isMember(request.Previous)
}

// precopyTurns copies turns before the previous epoch is sealed. A member of the previous
// view that isn't asked to backfill only reports whether it holds that epoch.
func (i *Installer) precopyTurns(ctx context.Context, request InstallRequest) archive.Reply {
	isMember := i.replica.isMember(request.Previous)
	if isMember && !i.replica.holdsData(request.Previous) {
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	if isMember && !request.Backfill {
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

// replyTo logs the error of an installation, if any, and returns the reply to the request.
func (i *Installer) replyTo(request InstallRequest, err error) archive.Reply {
	if err == nil {
		return archive.Reply{}
	}
	i.logger.Warn("shard not installed", zap.Uint32("shard", request.Successor.Shard),
		zap.Uint64("epoch", request.Successor.Epoch), zap.Error(err))
	return archive.Reply{Refusal: register.RefusalNotReady}
}

// copyShard copies the turns and registers that a majority of the previous members hold.
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

// copyTurns fetches the turns that the replica lacks, each from a member that listed it.
func (i *Installer) copyTurns(ctx context.Context, request InstallRequest, listings []*listing) error {
	lacking, err := i.replica.missingTurns(request.Successor.Shard, listings)
	if err != nil {
		return err
	}
	missing := &missingTurns{turns: lacking}
	for _, from := range listings {
		if err := i.copyFrom(ctx, request, from.member, from.intersect(lacking), missing); err != nil {
			i.logger.Info("turns not copied", zap.String("node", from.member.Node), zap.Error(err))
		}
	}
	if len(lacking) > 0 {
		return merry.Errorf("could not fetch %d turns of shard %d from any member that listed them",
			len(lacking), request.Successor.Shard)
	}
	return nil
}

// copyFrom fetches the wanted turns from one member, until a pull fails.
func (i *Installer) copyFrom(ctx context.Context, request InstallRequest, member register.Member, wanted []TurnReference, missing *missingTurns) error {
	pulls, ctx := errgroup.WithContext(ctx)
	pulls.SetLimit(maxConcurrentPulls)
	for batch := range slices.Chunk(wanted, maxTurnsPerPull) {
		pulls.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return i.fetchTurns(ctx, request, member, batch, missing)
		})
	}
	return pulls.Wait()
}

// missingTurns are the turns that an installation still has to fetch.
type missingTurns struct {
	mutex sync.Mutex
	turns map[TurnReference]struct{}
}

func (m *missingTurns) remove(received []replica.Turn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, turn := range received {
		delete(m.turns, referenceOf(turn))
	}
}

// fetchTurns copies the wanted turns from one member and removes those that it received
// from missing.
func (i *Installer) fetchTurns(ctx context.Context, request InstallRequest, member register.Member, wanted []TurnReference, missing *missingTurns) error {
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
	if err := i.replica.putTurns(request.Successor.Shard, received); err != nil {
		return err
	}
	missing.remove(received)
	return nil
}

// mergeListings merges the states of each register. The states of a majority of sealed
// members include every decided value.
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
	return missing, merry.Prepend(err, "list local turns")
}

func (r *Replica) putTurns(shard uint32, turns []replica.Turn) error {
	var group errgroup.Group
	group.SetLimit(maxParallelWrites)
	for _, turn := range turns {
		group.Go(func() error { return r.store.PutTurn(shard, turn) })
	}
	return merry.Prepend(group.Wait(), "store copied turns")
}

// mergeRegisters merges the copied states into the stored ones. The higher ballot wins, so
// newer local states are kept.
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

// beginInstall waits until no other installation of the shard is running.
func (r *Replica) beginInstall(ctx context.Context, shard uint32) (release func(), err error) {
	held, err := r.shardReplica(shard)
	if err != nil {
		return nil, err
	}
	select {
	case held.installSlot <- struct{}{}:
		return func() { <-held.installSlot }, nil
	case <-ctx.Done():
		return nil, merry.Prepend(context.Cause(ctx), "wait for another installation")
	}
}

// holdsData reports whether the data of the view is installed.
func (r *Replica) holdsData(view register.View) bool {
	held, err := r.acquire(view.Shard)
	if err != nil {
		return false
	}
	defer held.mutex.RUnlock()
	return held.state.DataEpoch >= view.Epoch
}

// finishInstall records that the replica holds the data of the view.
func (r *Replica) finishInstall(view register.View) error {
	held, err := r.acquire(view.Shard)
	if err != nil {
		return err
	}
	held.mutex.RUnlock()
	held.mutex.Lock()
	defer held.mutex.Unlock()
	next := held.state
	next.DataEpoch = max(next.DataEpoch, view.Epoch)
	return r.setState(view.Shard, held, next)
}

func referenceOf(turn replica.Turn) TurnReference {
	return TurnReference{Program: turn.Program, Sequence: turn.Sequence, Digest: turn.Digest}
}
