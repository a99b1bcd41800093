package mirror

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// holderSlack is how much longer than its wait a holder's answer may take: one that
	// went silent is noticed after both (chosen, not measured).
	holderSlack = 400 * time.Millisecond
	// probeTimeout bounds a call at a holder that isn't to be held. A holder that is well
	// answers within a few milliseconds (chosen, not measured).
	probeTimeout = 200 * time.Millisecond
	// insteadWait is how long the store itself may hold a call in place of holders: a
	// store that says nothing is then noticed about as soon as by a listing, which has
	// 1.5 s (chosen, not measured).
	insteadWait = time.Second
	// leastWait is the shortest wait of a call at the store itself that comes after
	// holders were asked in vain (chosen, not measured).
	leastWait = 100 * time.Millisecond
	// unseen is a revision that no holder has been at, so that a holder that is asked for
	// what came after it tells all that there is.
	unseen int64 = -1
)

// Watcher asks one holder for changes. peer.Client is one.
type Watcher interface {
	WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (Answer, error)
}

// SourceSettings are the bounds of a Source.
type SourceSettings struct {
	// Wait is how long a holder may hold a call without changes.
	Wait time.Duration
	// MaxAge is how long ago the store may have confirmed what a holder says.
	MaxAge time.Duration
	// Patience is how long holders are waited for before the store itself is asked. Where
	// there are no holders at all the store is asked at once.
	Patience Patience
	// StorePause is the least time between two calls at the store itself while it is
	// followed in place of holders: changes that come meanwhile cost one call.
	StorePause time.Duration
}

// Source follows one kind of objects through holders, so that a change costs the store
// one call a holder rather than one a node. The store itself is asked where no holder
// could be relied on for a while. It implements follow.Source; calls have to be made one
// at a time.
type Source struct {
	kind     string
	direct   follow.Source
	holders  *Holders
	watcher  Watcher
	settings SourceSettings
	logger   *zap.Logger
	gate     gate
	// storeAnswered is when the store itself last answered. Only the goroutine of the
	// source's follower uses it.
	storeAnswered time.Time
	// newest is the newest revision that was handed out.
	newest atomic.Int64
	// through is the holder that answered last; nil for the store itself.
	through atomic.Pointer[netip.AddrPort]
}

// NewSource makes a source of the kind.
func NewSource(kind string, direct follow.Source, holders *Holders, watcher Watcher, settings SourceSettings, logger *zap.Logger) *Source {
	return &Source{
		kind: kind, direct: direct, holders: holders, watcher: watcher, settings: settings, logger: logger,
		gate: newGate(settings.Patience, holders.now()),
	}
}

// List implements follow.Source.
func (s *Source) List(ctx context.Context) (follow.Snapshot, error) {
	var snapshot follow.Snapshot
	found := s.askHolders(ctx, unseen, func(holder netip.AddrPort, _ int) (err error) {
		snapshot, err = s.listBy(ctx, holder)
		return err
	})
	if found {
		return snapshot, nil
	}
	if err := s.passGate(ctx); err != nil {
		return follow.Snapshot{}, err
	}
	snapshot, err := s.direct.List(ctx)
	s.storeAsked(snapshot.At, err)
	return snapshot, err
}

// askHolders asks one holder after the other until one answers, and tells whether one
// did. ask is also given how many were asked before in this call.
func (s *Source) askHolders(ctx context.Context, from int64, ask func(holder netip.AddrPort, before int) error) bool {
	began := s.holders.now()
	asked := round{mayAskStore: func() bool { return s.mayAskStore(s.holders.now()) }}
	for ctx.Err() == nil {
		asked.took = s.holders.now().Sub(began)
		if !asked.goesOn() {
			return false
		}
		holder, found := s.holders.pick()
		if !found {
			return false
		}
		err := ask(holder, asked.holders)
		if err == nil {
			return true
		}
		asked.add(err)
		s.leave(ctx, holder, from, err)
	}
	return false
}

// mayAskStore tells whether the store itself may be asked.
func (s *Source) mayAskStore(now time.Time) bool {
	return s.gate.isOpen(now) || s.holders.isEmpty()
}

// passGate returns nil where the store itself may be asked now, and why it may not
// otherwise: errNoHolder, or that the caller gave up.
func (s *Source) passGate(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := s.holders.now()
	if !s.mayAskStore(now) {
		return errNoHolder
	}
	if s.through.Swap(nil) != nil {
		s.logger.Info("following the store directly", zap.String("objects", s.kind))
	}
	return nil
}

// listBy has the holder tell all that there is. One that is behind what was handed out
// already is of no use: revisions never go back.
func (s *Source) listBy(ctx context.Context, holder netip.AddrPort) (follow.Snapshot, error) {
	changes, err := s.probe(ctx, holder, unseen)
	if err != nil {
		return follow.Snapshot{}, err
	}
	if !changes.IsWhole || changes.At < s.newest.Load() {
		return follow.Snapshot{}, errHolderBehind
	}
	s.trust(holder, changes.At)
	return changes.Snapshot(), nil
}

// Watch implements follow.Source. A holder that can't be relied on may have kept changes
// back; whoever is asked next tells them all, since they are asked for from the same
// revision on. Only the first holder may hold the call, and none may while the store
// itself is followed: one that went dark must not keep changes back for long.
func (s *Source) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	began := s.holders.now()
	if err := s.pauseAtStore(ctx); err != nil {
		return follow.Changes{}, err
	}
	var changes follow.Changes
	found := s.askHolders(ctx, from, func(holder netip.AddrPort, before int) (err error) {
		if before > 0 || s.gate.followsStore() {
			changes, err = s.probe(ctx, holder, from)
		} else {
			changes, err = s.ask(ctx, holder, from, s.settings.Wait)
		}
		if err == nil {
			s.trust(holder, changes.At)
		}
		return err
	})
	if found {
		return changes, nil
	}
	if err := s.passGate(ctx); err != nil {
		return follow.Changes{}, err
	}
	taken := s.holders.now().Sub(began)
	return s.watchStore(ctx, from, max(wait-taken, leastWait))
}

// pauseAtStore waits until the store itself may be asked again where it is followed.
func (s *Source) pauseAtStore(ctx context.Context) error {
	if !s.gate.followsStore() || s.holders.isEmpty() {
		return nil
	}
	return sleep.For(ctx, s.settings.StorePause-s.holders.now().Sub(s.storeAnswered))
}

// watchStore asks the store itself. In place of holders the call is held for insteadWait
// at most: holders are to be tried again, and a store that says nothing has to be noticed
// as soon as it would be by a listing.
func (s *Source) watchStore(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	if !s.holders.isEmpty() {
		wait = min(wait, insteadWait)
		bounded, cancel := context.WithTimeout(ctx, wait+holderSlack)
		defer cancel()
		ctx = bounded
	}
	changes, err := s.direct.Watch(ctx, from, wait)
	s.storeAsked(changes.At, err)
	return changes, err
}

// probe asks a holder for what it can tell at once.
func (s *Source) probe(ctx context.Context, holder netip.AddrPort, from int64) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.ask(ctx, holder, from, 0)
}

// ask has the holder tell what changed after the revision, and held for the wait where
// nothing did.
func (s *Source) ask(ctx context.Context, holder netip.AddrPort, from int64, wait time.Duration) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+holderSlack)
	defer cancel()
	said, err := s.watcher.WatchMirror(ctx, holder, s.kind, from, wait)
	if err != nil {
		return follow.Changes{}, err
	}
	return trusted(said, s.settings.MaxAge)
}

// trust notes that the holder's answer is handed out.
func (s *Source) trust(holder netip.AddrPort, at int64) {
	s.handOut(at)
	s.gate.holderAnswered(s.holders.now())
	s.holders.answered(holder)
	if before := s.through.Swap(&holder); before == nil || *before != holder {
		s.logger.Info("following through a storage node", zap.String("objects", s.kind), zap.Stringer("holder", holder))
	}
}

// leave has the holder asked last for a while, unless it was the caller who gave
// the call up.
func (s *Source) leave(ctx context.Context, holder netip.AddrPort, from int64, err error) {
	if ctx.Err() != nil {
		return
	}
	if isUseless(err) {
		s.holders.useless(holder)
	} else {
		s.holders.failed(holder)
	}
	s.gate.holderFailed(s.holders.now(), err)
	s.logger.Info("storage node no longer followed", zap.String("objects", s.kind), zap.Stringer("holder", holder),
		zap.Int64("revision", from), zap.Error(err))
}

// Through names for logs whom this source heard from last.
func (s *Source) Through() string {
	if holder := s.through.Load(); holder != nil {
		return "storage node " + holder.String()
	}
	return "the store itself"
}

// storeAsked notes how a call at the store itself ended. Where the store says that it has
// forgotten the changes, it has answered.
func (s *Source) storeAsked(at int64, err error) {
	now := s.holders.now()
	switch {
	case err == nil:
		s.handOut(at)
		s.storeAnswered = now
		s.gate.storeAnswered(now)
	case errors.Is(err, follow.ErrHistoryGone):
		s.gate.storeAnswered(now)
	default:
		s.gate.storeFailed(now)
	}
}

// handOut notes the revision that the follower is brought to.
func (s *Source) handOut(at int64) {
	for known := s.newest.Load(); at > known; known = s.newest.Load() {
		if s.newest.CompareAndSwap(known, at) {
			return
		}
	}
}
