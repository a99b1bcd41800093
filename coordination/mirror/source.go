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
	// holderGrace is the time beyond its wait after which a call to a holder times out.
	holderGrace = 400 * time.Millisecond
	// probeTimeout is the timeout of a call to a holder without a wait. A healthy holder
	// answers within a few milliseconds.
	probeTimeout = 200 * time.Millisecond
	// maxStoreWait is the longest wait of a call to the store in place of holders. With
	// holderGrace an unresponsive store is detected about as soon as by a listing.
	maxStoreWait = time.Second
	// minStoreWait is the shortest wait of a call to the store after the attempts at holders.
	minStoreWait = 100 * time.Millisecond
	// noRevision precedes every revision. A holder asked for the changes since then sends its
	// whole snapshot.
	noRevision int64 = -1
)

// Watcher asks one holder for changes. peer.Client implements it.
type Watcher interface {
	WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (WatchAnswer, error)
}

// SourceSettings configure a Source.
type SourceSettings struct {
	// HolderWait is the longest time that a holder may hold a call until there are changes.
	HolderWait time.Duration
	// MaxHolderAge is the longest time since the store confirmed a holder's data.
	MaxHolderAge time.Duration
	// FallbackDelays holds the delays before the store is asked directly. If there are no holders
	// at all, it is asked at once.
	FallbackDelays FallbackDelays
	// StorePause is the shortest time between two calls to the store while it is followed in
	// place of holders, so that changes in quick succession cost one call.
	StorePause time.Duration
}

// Source follows one kind of objects through holders, so that a change costs the store one
// call for each holder rather than for each node. It falls back to the store when no
// holder has been usable for a while. It implements follow.Source; calls must be made one
// at a time.
type Source struct {
	kind     string
	store    follow.Source
	holders  *HolderSelector
	watcher  Watcher
	settings SourceSettings
	logger   *zap.Logger
	gate     storeGate
	// lastStoreAnswer is when the store last answered a direct call. Only the goroutine of the
	// follower uses it.
	lastStoreAnswer time.Time
	// newestRevision is the newest revision that was returned.
	newestRevision atomic.Int64
	// lastHolder is the holder that is followed; nil for the store.
	lastHolder atomic.Pointer[netip.AddrPort]
}

// NewSource creates a source of the kind that follows the holders, and the store as a
// fallback.
func NewSource(kind string, store follow.Source, holders *HolderSelector, watcher Watcher, settings SourceSettings, logger *zap.Logger) *Source {
	return &Source{
		kind: kind, store: store, holders: holders, watcher: watcher, settings: settings, logger: logger,
		gate: newStoreGate(settings.FallbackDelays, holders.now()),
	}
}

// List implements follow.Source.
func (s *Source) List(ctx context.Context) (follow.Snapshot, error) {
	var snapshot follow.Snapshot
	found := s.askHolders(ctx, noRevision, func(holder netip.AddrPort, _ int) (err error) {
		snapshot, err = s.listFromHolder(ctx, holder)
		return err
	})
	if found {
		return snapshot, nil
	}
	if err := s.switchToStore(ctx); err != nil {
		return follow.Snapshot{}, err
	}
	snapshot, err := s.store.List(ctx)
	s.recordStoreCall(snapshot.At, err)
	return snapshot, err
}

// askHolders calls ask with one holder after the other, and the number of earlier ones, until
// one gives a usable answer. It reports whether one did.
func (s *Source) askHolders(ctx context.Context, from int64, ask func(holder netip.AddrPort, earlier int) error) bool {
	start := s.holders.now()
	attempts := holderAttempts{mayAskStore: func() bool { return s.mayAskStore(s.holders.now()) }}
	for ctx.Err() == nil {
		attempts.elapsed = s.holders.now().Sub(start)
		if !attempts.mayContinue() {
			return false
		}
		holder, found := s.holders.pick()
		if !found {
			return false
		}
		err := ask(holder, attempts.failed)
		if err == nil {
			return true
		}
		attempts.recordFailure(err)
		s.recordHolderFailure(ctx, holder, from, err)
	}
	return false
}

// mayAskStore reports whether the store may be asked directly.
func (s *Source) mayAskStore(now time.Time) bool {
	return s.gate.isOpen(now) || s.holders.isEmpty()
}

// switchToStore makes the source follow the store directly. It fails with errNoHolder if the
// store may not be asked yet, and with the context's error if that has ended.
func (s *Source) switchToStore(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := s.holders.now()
	if !s.mayAskStore(now) {
		return errNoHolder
	}
	if s.lastHolder.Swap(nil) != nil {
		s.logger.Info("following the store directly", zap.String("objects", s.kind))
	}
	return nil
}

// listFromHolder returns the holder's whole snapshot. One that is older than the newest
// returned revision can't be used, since revisions must not decrease.
func (s *Source) listFromHolder(ctx context.Context, holder netip.AddrPort) (follow.Snapshot, error) {
	changes, err := s.probe(ctx, holder, noRevision)
	if err != nil {
		return follow.Snapshot{}, err
	}
	if !changes.IsFull || changes.At < s.newestRevision.Load() {
		return follow.Snapshot{}, errHolderBehind
	}
	s.recordHolderAnswer(holder, changes.At)
	return changes.Snapshot(), nil
}

// Watch implements follow.Source. Changes that an unusable holder withheld aren't missed,
// since the next holder or the store is asked from the same revision. Only the first holder
// may hold the call, and none may while the store is followed, so that unreachable
// holders don't delay changes for long.
func (s *Source) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	start := s.holders.now()
	if err := s.waitStorePause(ctx); err != nil {
		return follow.Changes{}, err
	}
	var changes follow.Changes
	found := s.askHolders(ctx, from, func(holder netip.AddrPort, earlier int) (err error) {
		if earlier > 0 || s.gate.followsStore() {
			changes, err = s.probe(ctx, holder, from)
		} else {
			changes, err = s.watchHolder(ctx, holder, from, s.settings.HolderWait)
		}
		if err == nil {
			s.recordHolderAnswer(holder, changes.At)
		}
		return err
	})
	if found {
		return changes, nil
	}
	if err := s.switchToStore(ctx); err != nil {
		return follow.Changes{}, err
	}
	elapsed := s.holders.now().Sub(start)
	return s.watchStore(ctx, from, max(wait-elapsed, minStoreWait))
}

// waitStorePause waits for the rest of StorePause if the store is followed in place of
// holders.
func (s *Source) waitStorePause(ctx context.Context) error {
	if !s.gate.followsStore() || s.holders.isEmpty() {
		return nil
	}
	return sleep.For(ctx, s.settings.StorePause-s.holders.now().Sub(s.lastStoreAnswer))
}

// watchStore asks the store for changes. In place of holders the wait is at most
// maxStoreWait, so that holders are tried again and an unresponsive store is detected soon.
func (s *Source) watchStore(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	if !s.holders.isEmpty() {
		wait = min(wait, maxStoreWait)
		bounded, cancel := context.WithTimeout(ctx, wait+holderGrace)
		defer cancel()
		ctx = bounded
	}
	changes, err := s.store.Watch(ctx, from, wait)
	s.recordStoreCall(changes.At, err)
	return changes, err
}

// probe asks a holder for changes without a wait.
func (s *Source) probe(ctx context.Context, holder netip.AddrPort, from int64) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.watchHolder(ctx, holder, from, 0)
}

// watchHolder asks a holder for changes after the revision. The holder may hold the call for
// the wait until there are any.
func (s *Source) watchHolder(ctx context.Context, holder netip.AddrPort, from int64, wait time.Duration) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+holderGrace)
	defer cancel()
	answer, err := s.watcher.WatchMirror(ctx, holder, s.kind, from, wait)
	if err != nil {
		return follow.Changes{}, err
	}
	return usableChanges(answer, s.settings.MaxHolderAge)
}

// recordHolderAnswer records a usable answer of the holder.
func (s *Source) recordHolderAnswer(holder netip.AddrPort, at int64) {
	s.advanceRevision(at)
	s.gate.holderAnswered(s.holders.now())
	s.holders.recordSuccess(holder)
	if previous := s.lastHolder.Swap(&holder); previous == nil || *previous != holder {
		s.logger.Info("following through a storage node", zap.String("objects", s.kind), zap.Stringer("holder", holder))
	}
}

// recordHolderFailure puts the holder into backoff, unless the caller cancelled the call.
func (s *Source) recordHolderFailure(ctx context.Context, holder netip.AddrPort, from int64, err error) {
	if ctx.Err() != nil {
		return
	}
	if isUnusable(err) {
		s.holders.recordUnusable(holder)
	} else {
		s.holders.recordFailure(holder)
	}
	s.gate.holderFailed(s.holders.now(), err)
	s.logger.Info("storage node no longer followed", zap.String("objects", s.kind), zap.Stringer("holder", holder),
		zap.Int64("revision", from), zap.Error(err))
}

// UpstreamName describes, for logs, the holder or store that is followed.
func (s *Source) UpstreamName() string {
	if holder := s.lastHolder.Load(); holder != nil {
		return "storage node " + holder.String()
	}
	return "the store itself"
}

// recordStoreCall records the result of a call to the store. ErrHistoryCompacted counts
// as an answer.
func (s *Source) recordStoreCall(at int64, err error) {
	now := s.holders.now()
	switch {
	case err == nil:
		s.advanceRevision(at)
		s.lastStoreAnswer = now
		s.gate.storeAnswered(now)
	case errors.Is(err, follow.ErrHistoryCompacted):
		s.gate.storeAnswered(now)
	default:
		s.gate.storeFailed(now)
	}
}

// advanceRevision raises the newest returned revision.
func (s *Source) advanceRevision(at int64) {
	for known := s.newestRevision.Load(); at > known; known = s.newestRevision.Load() {
		if s.newestRevision.CompareAndSwap(known, at) {
			return
		}
	}
}
