package mirror

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
)

const (
	// holderSlack is how much longer than its wait a holder's answer may take: one
	// that went silent is noticed after both.
	holderSlack = 400 * time.Millisecond
	// listTimeout bounds one listing by a holder.
	listTimeout = 200 * time.Millisecond
	// hopTime is how long a call may have taken for another holder to be asked
	// within it. After that the store itself is.
	hopTime = 200 * time.Millisecond
	// leastWait is the shortest wait of a call at the store itself that comes
	// after holders were asked in vain.
	leastWait = 100 * time.Millisecond
	// unseen is a revision that no holder has been at, so that it tells all that
	// there is.
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
}

// Source follows one kind of the store through holders, so that a change costs the
// store one call a holder rather than one a node. The store itself is asked while
// no holder can be relied on. It implements follow.Source.
type Source struct {
	kind     string
	direct   follow.Source
	holders  *Holders
	watcher  Watcher
	settings SourceSettings
	logger   *zap.Logger
	// newest is the newest revision that was handed out.
	newest atomic.Int64
	// through is the holder that answered last; nil for the store itself.
	through atomic.Pointer[netip.AddrPort]
}

// NewSource makes a source of the kind.
func NewSource(kind string, direct follow.Source, holders *Holders, watcher Watcher, settings SourceSettings, logger *zap.Logger) *Source {
	return &Source{kind: kind, direct: direct, holders: holders, watcher: watcher, settings: settings, logger: logger}
}

// List implements follow.Source. One holder is asked, and then the store.
func (s *Source) List(ctx context.Context) (follow.Snapshot, error) {
	if holder, found := s.holders.pick(); found {
		snapshot, err := s.listBy(ctx, holder)
		if err == nil {
			return snapshot, nil
		}
		s.leave(ctx, holder, unseen, err)
	}
	snapshot, err := s.direct.List(ctx)
	if err == nil {
		s.handOut(snapshot.At)
	}
	return snapshot, err
}

// listBy has the holder tell all that there is. One that is behind what was handed
// out already is no use: revisions never go back.
func (s *Source) listBy(ctx context.Context, holder netip.AddrPort) (follow.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := s.ask(ctx, holder, unseen, 0)
	if err != nil {
		return follow.Snapshot{}, err
	}
	if !changes.IsWhole || changes.At < s.newest.Load() {
		return follow.Snapshot{}, errHolderBehind
	}
	s.trust(holder, changes.At)
	snapshot := follow.Snapshot{At: changes.At, Age: changes.Age}
	for _, event := range changes.Events {
		snapshot.Objects = append(snapshot.Objects, event.Object)
	}
	return snapshot, nil
}

// Watch implements follow.Source. A holder that can't be relied on may have kept
// changes back; whoever is asked next tells them all, since they are asked for
// from the same revision on.
func (s *Source) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	began := s.holders.now()
	taken := func() time.Duration { return s.holders.now().Sub(began) }
	for ctx.Err() == nil && taken() < hopTime {
		holder, found := s.holders.pick()
		if !found {
			break
		}
		changes, err := s.ask(ctx, holder, from, s.settings.Wait)
		if err == nil {
			s.trust(holder, changes.At)
			return changes, nil
		}
		s.leave(ctx, holder, from, err)
	}
	if err := ctx.Err(); err != nil {
		return follow.Changes{}, err
	}
	if s.through.Swap(nil) != nil {
		s.logger.Info("following the store itself", zap.String("objects", s.kind))
	}
	changes, err := s.direct.Watch(ctx, from, max(wait-taken(), leastWait))
	if err == nil {
		s.handOut(changes.At)
	}
	return changes, err
}

var (
	errHolderLost   = errors.New("the holder has lost the store")
	errHolderMissed = errors.New("the holder doesn't follow the kind")
	errHolderOld    = errors.New("the store hasn't confirmed to the holder for too long")
	errHolderBehind = errors.New("the holder is behind what is known")
)

func (s *Source) ask(ctx context.Context, holder netip.AddrPort, from int64, wait time.Duration) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+holderSlack)
	defer cancel()
	said, err := s.watcher.WatchMirror(ctx, holder, s.kind, from, wait)
	if err != nil {
		return follow.Changes{}, err
	}
	switch answer := said.(type) {
	case Current:
		if answer.Changes.Age > s.settings.MaxAge {
			return follow.Changes{}, errHolderOld
		}
		return answer.Changes, nil
	case Lost:
		return follow.Changes{}, errHolderLost
	}
	return follow.Changes{}, errHolderMissed
}

// trust notes that the holder answered.
func (s *Source) trust(holder netip.AddrPort, at int64) {
	s.handOut(at)
	s.holders.answered(holder)
	if before := s.through.Swap(&holder); before == nil || *before != holder {
		s.logger.Info("following through a holder", zap.String("objects", s.kind), zap.Stringer("holder", holder))
	}
}

// leave has the holder asked last for a while, unless it was the caller who gave
// the call up.
func (s *Source) leave(ctx context.Context, holder netip.AddrPort, from int64, err error) {
	if ctx.Err() != nil {
		return
	}
	s.holders.failed(holder)
	s.logger.Info("holder left", zap.String("objects", s.kind), zap.Stringer("holder", holder),
		zap.Int64("revision", from), zap.Error(err))
}

func (s *Source) handOut(at int64) {
	for known := s.newest.Load(); at > known; known = s.newest.Load() {
		if s.newest.CompareAndSwap(known, at) {
			return
		}
	}
}
