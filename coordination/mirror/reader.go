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

const (
	// firstPatience is how long a node that has just started waits for the store
	// itself.
	firstPatience = 100 * time.Millisecond
	// fetchTimeout bounds one request to a holder.
	fetchTimeout = 400 * time.Millisecond
	// searchPause lies between two rounds before anything is known, refreshPause
	// between two while the store stays away.
	searchPause  = 100 * time.Millisecond
	refreshPause = time.Second
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

// Reader offers mirrored snapshots to the followers of one node while the store
// doesn't answer these. It is a suture service.
type Reader struct {
	holders   []netip.AddrPort
	fetcher   Fetcher
	followers map[string]Follower
	now       func() time.Time
	logger    *zap.Logger
}

// NewReader makes a reader that asks the holders for the kinds that the
// followers are named by.
func NewReader(holders []netip.AddrPort, fetcher Fetcher, followers map[string]Follower, now func() time.Time, logger *zap.Logger) *Reader {
	return &Reader{holders: holders, fetcher: fetcher, followers: followers, now: now, logger: logger}
}

// String names the service in the supervisor's messages.
func (r *Reader) String() string { return "reader of mirrored objects" }

// Serve asks while it is needed, until the context ends.
func (r *Reader) Serve(ctx context.Context) error {
	pause := firstPatience
	for {
		if sleep.For(ctx, pause) != nil {
			return ctx.Err()
		}
		if r.isNeeded() {
			r.round(ctx)
		}
		pause = refreshPause
		if r.isSearching() {
			pause = searchPause
		}
	}
}

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

// round asks every holder, and offers each answer as it comes: a later one that
// is newer replaces it.
func (r *Reader) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, holder := range r.holders {
		asking.Go(func() {
			copies, err := r.fetcher.FetchMirror(ctx, holder)
			if err != nil {
				r.logger.Debug("holder didn't answer", zap.Stringer("holder", holder), zap.Error(err))
				return
			}
			r.offer(holder, copies)
		})
	}
	asking.Wait()
}

// offer gives a follower what it lacks. One that hears from the store itself
// gets nothing.
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
