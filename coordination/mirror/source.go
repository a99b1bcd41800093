package mirror

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
)

const (
	// holderWait is how long a holder may hold a call, and holderSlack how much
	// longer its answer may take: a holder that went silent is noticed after both.
	holderWait  = time.Second
	holderSlack = 400 * time.Millisecond
	// avoidTime is how long a holder that didn't answer, or has itself lost the
	// store, is asked last.
	avoidTime = 3 * time.Second
)

// Watcher asks one holder for changes. peer.Client is one.
type Watcher interface {
	WatchMirror(ctx context.Context, address netip.AddrPort, kind string, revision int64, wait time.Duration) (Answer, error)
}

// Holders are the storage nodes that a node follows the store through, in its
// order of preference. It is safe for concurrent use.
type Holders struct {
	list func() []netip.AddrPort
	now  func() time.Time

	mutex   sync.Mutex
	avoided map[netip.AddrPort]time.Time
}

// NewHolders makes the holders of the list, which may change.
func NewHolders(list func() []netip.AddrPort, now func() time.Time) *Holders {
	return &Holders{list: list, now: now, avoided: make(map[netip.AddrPort]time.Time)}
}

// pick returns the first holder that isn't avoided.
func (h *Holders) pick() (netip.AddrPort, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, holder := range h.list() {
		if since, found := h.avoided[holder]; !found || h.now().Sub(since) >= avoidTime {
			return holder, true
		}
	}
	return netip.AddrPort{}, false
}

func (h *Holders) avoid(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided[holder] = h.now()
}

// Source follows one kind of the store through holders, so that a change costs the
// store one call a holder rather than one a node. It lists from the store itself,
// and watches there too while no holder can be relied on. It implements
// follow.Source.
type Source struct {
	kind    string
	direct  follow.Source
	holders *Holders
	watcher Watcher
	// maxAge is how long ago the store may have confirmed what a holder says.
	maxAge time.Duration
	logger *zap.Logger
	// through is the holder that was asked last; nil for the store itself.
	through atomic.Pointer[netip.AddrPort]
}

// NewSource makes a source of the kind.
func NewSource(kind string, direct follow.Source, holders *Holders, watcher Watcher, maxAge time.Duration, logger *zap.Logger) *Source {
	return &Source{kind: kind, direct: direct, holders: holders, watcher: watcher, maxAge: maxAge, logger: logger}
}

// List implements follow.Source.
func (s *Source) List(ctx context.Context) (follow.Snapshot, error) { return s.direct.List(ctx) }

// Watch implements follow.Source. A holder that can't be relied on may have kept
// changes back, so that a listing has to follow.
func (s *Source) Watch(ctx context.Context, from int64, wait time.Duration) (follow.Changes, error) {
	holder, found := s.holders.pick()
	if !found {
		s.noteWay(nil)
		return s.direct.Watch(ctx, from, wait)
	}
	s.noteWay(&holder)
	changes, err := s.ask(ctx, holder, from)
	if err == nil {
		return changes, nil
	}
	if ctx.Err() == nil {
		s.holders.avoid(holder)
		s.logger.Info("holder left", zap.String("objects", s.kind), zap.Stringer("holder", holder),
			zap.Int64("revision", from), zap.Error(err))
	}
	return follow.Changes{}, follow.ErrMissed
}

var (
	errHolderLost   = errors.New("the holder has lost the store")
	errHolderMissed = errors.New("the holder doesn't follow the kind")
	errHolderOld    = errors.New("the store hasn't confirmed to the holder for too long")
)

func (s *Source) ask(ctx context.Context, holder netip.AddrPort, from int64) (follow.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, holderWait+holderSlack)
	defer cancel()
	said, err := s.watcher.WatchMirror(ctx, holder, s.kind, from, holderWait)
	if err != nil {
		return follow.Changes{}, err
	}
	switch answer := said.(type) {
	case Current:
		if answer.Changes.Age > s.maxAge {
			return follow.Changes{}, errHolderOld
		}
		return answer.Changes, nil
	case Lost:
		return follow.Changes{}, errHolderLost
	}
	return follow.Changes{}, errHolderMissed
}

// noteWay logs which way is followed from now on.
func (s *Source) noteWay(holder *netip.AddrPort) {
	before := s.through.Swap(holder)
	switch {
	case holder == nil && before != nil:
		s.logger.Info("following the store itself", zap.String("objects", s.kind))
	case holder != nil && (before == nil || *before != *holder):
		s.logger.Info("following through a holder", zap.String("objects", s.kind), zap.Stringer("holder", *holder))
	}
}
