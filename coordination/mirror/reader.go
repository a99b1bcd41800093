package mirror

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/sleep"
)

// Bounds of the reader (chosen, not measured).
const (
	// firstPatience is how long a node that has just started waits for the store itself.
	firstPatience = 100 * time.Millisecond
	// fetchTimeout bounds one request to a holder.
	fetchTimeout = 400 * time.Millisecond
	// searchStagger lies between asking one holder and the next before anything is known,
	// so that nodes that start together don't have every holder send all it has to every
	// one of them.
	searchStagger = 60 * time.Millisecond
	// searchedAtOnce bounds the holders that are asked in one round of a search.
	searchedAtOnce = 4
	// searchPause lies between two rounds before anything is known.
	searchPause = 100 * time.Millisecond
	// firstRefresh is the first pause between two requests while the store is away. It
	// doubles up to lastRefresh: what holders know then hardly changes, and 259 gateways
	// that asked for three whole copies a second would fill the links of the first ones.
	firstRefresh = 500 * time.Millisecond
	lastRefresh  = 4 * time.Second
)

// Follower follows one kind of objects. follow.Follower is one.
type Follower interface {
	// Offer takes in a snapshot that is newer than what is known, and tells
	// whether it did.
	Offer(snapshot follow.Snapshot) bool
	// IsLost tells that the store doesn't answer.
	IsLost() bool
	// IsKnown tells that any snapshot was taken in.
	IsKnown() bool
}

// Fetcher asks one holder for all it has. peer.Client is one.
type Fetcher interface {
	FetchMirror(ctx context.Context, address netip.AddrPort) ([]Copy, error)
}

// Reader offers mirrored snapshots to the followers of one node while these hear nothing
// from the store. It is a suture service.
type Reader struct {
	holders   func() []netip.AddrPort
	fetcher   Fetcher
	followers map[string]Follower
	now       func() time.Time
	logger    *zap.Logger
	// next counts the requests that refreshed what is known, so that each goes to the next
	// holder.
	next int
}

// NewReader makes a reader that asks the holders, which are listed in the order of
// preference. The followers are named by their kinds.
func NewReader(holders func() []netip.AddrPort, fetcher Fetcher, followers map[string]Follower, now func() time.Time, logger *zap.Logger) *Reader {
	return &Reader{holders: holders, fetcher: fetcher, followers: followers, now: now, logger: logger}
}

// String names the service in the supervisor's messages.
func (r *Reader) String() string { return "reader of mirrored objects" }

// Serve asks holders while any follower needs that, until the context ends.
func (r *Reader) Serve(ctx context.Context) error {
	pause, refresh := firstPatience, firstRefresh
	for {
		if sleep.For(ctx, pause) != nil {
			return ctx.Err()
		}
		switch {
		case r.isSearching():
			r.search(ctx)
			pause, refresh = searchPause, firstRefresh
		case r.isNeeded():
			r.refresh(ctx)
			pause = sleep.Jitter(refresh)
			refresh = min(2*refresh, lastRefresh)
		default:
			pause, refresh = firstRefresh, firstRefresh
		}
	}
}

// isNeeded tells that a follower hears nothing from the store or knows nothing yet.
func (r *Reader) isNeeded() bool {
	for _, follower := range r.followers {
		if follower.IsLost() || !follower.IsKnown() {
			return true
		}
	}
	return false
}

// isSearching tells that a kind isn't known at all.
func (r *Reader) isSearching() bool {
	for _, follower := range r.followers {
		if !follower.IsKnown() {
			return true
		}
	}
	return false
}

// search asks holder after holder, without waiting for the answer of the one
// before for long, until something is known of every kind.
func (r *Reader) search(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	holders := r.holders()
	var asking sync.WaitGroup
	for index, holder := range holders[:min(len(holders), searchedAtOnce)] {
		asking.Go(func() {
			if sleep.For(ctx, time.Duration(index)*searchStagger) != nil {
				return
			}
			r.fetch(ctx, holder)
			if !r.isSearching() {
				cancel()
			}
		})
	}
	asking.Wait()
}

// refresh asks the next holder, since the one before may have been behind the others.
func (r *Reader) refresh(ctx context.Context) {
	holders := r.holders()
	if len(holders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.next++
	r.fetch(ctx, holders[r.next%len(holders)])
}

// fetch asks one holder and offers what it has.
func (r *Reader) fetch(ctx context.Context, holder netip.AddrPort) {
	copies, err := r.fetcher.FetchMirror(ctx, holder)
	if err != nil {
		r.logger.Debug("mirroring storage node did not answer", zap.Stringer("holder", holder), zap.Error(err))
		return
	}
	r.offer(holder, copies)
}

// offer gives each follower the copy of its kind, unless it hears from the store.
func (r *Reader) offer(holder netip.AddrPort, copies []Copy) {
	for _, offered := range copies {
		follower, followed := r.followers[offered.Kind]
		if !followed || follower.IsKnown() && !follower.IsLost() || !follower.Offer(offered.Snapshot) {
			continue
		}
		r.logger.Info("mirrored objects taken", zap.String("objects", offered.Kind), zap.Stringer("holder", holder),
			zap.Int64("revision", offered.Snapshot.At), zap.Int("count", len(offered.Snapshot.Objects)), r.age(offered))
	}
}

func (r *Reader) age(offered Copy) zap.Field {
	if offered.Heard.IsZero() {
		return zap.String("age", "unknown")
	}
	return zap.Duration("age", r.now().Sub(offered.Heard))
}
