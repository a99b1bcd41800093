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

// Timing and limits of the reader.
const (
	// startDelay is how long a node that has just started waits for the store.
	startDelay = 100 * time.Millisecond
	// fetchTimeout is the timeout of a refresh, or of one round of a search.
	fetchTimeout = 400 * time.Millisecond
	// searchStagger delays each further request of a search, so that nodes that start at the
	// same time don't each fetch the copies of every holder.
	searchStagger = 60 * time.Millisecond
	// maxSearchedHolders is the maximum number of holders asked in one round of a search.
	maxSearchedHolders = 4
	// searchInterval is the pause between two rounds of a search.
	searchInterval = 100 * time.Millisecond
	// minRefreshInterval is the first pause between two refreshes while the store is
	// unavailable. It doubles up to maxRefreshInterval, since the copies hardly change then
	// and fetching them loads the holders' network links: 259 gateways that ask for three
	// copies a second would fill those of the first holders.
	minRefreshInterval = 500 * time.Millisecond
	maxRefreshInterval = 4 * time.Second
)

// Follower follows one kind of objects. follow.Follower implements it.
type Follower interface {
	// ApplyIfNewer applies the snapshot if it is newer than the known one, and reports whether it
	// did.
	ApplyIfNewer(snapshot follow.Snapshot) bool
	// IsLost reports whether the store doesn't answer.
	IsLost() bool
	// IsKnown reports whether any snapshot was applied.
	IsKnown() bool
}

// Fetcher fetches all copies of one holder. peer.Client implements it.
type Fetcher interface {
	FetchMirror(ctx context.Context, address netip.AddrPort) ([]Copy, error)
}

// CopyReader offers mirrored snapshots to the followers of one node while these hear nothing
// from the store. It is a suture service.
type CopyReader struct {
	holders   func() []netip.AddrPort
	fetcher   Fetcher
	followers map[string]Follower
	now       func() time.Time
	logger    *zap.Logger
	// refreshCount counts the refreshes, so that each goes to the next holder.
	refreshCount int
}

// NewReader creates a reader that asks the listed holders, most preferred first. The
// followers are keyed by kind.
func NewReader(holders func() []netip.AddrPort, fetcher Fetcher, followers map[string]Follower, now func() time.Time, logger *zap.Logger) *CopyReader {
	return &CopyReader{holders: holders, fetcher: fetcher, followers: followers, now: now, logger: logger}
}

// String names the service in the supervisor's messages.
func (r *CopyReader) String() string { return "mirror reader" }

// Serve fetches copies while any follower needs them, until the context ends.
func (r *CopyReader) Serve(ctx context.Context) error {
	pause, refresh := startDelay, minRefreshInterval
	for {
		if sleep.For(ctx, pause) != nil {
			return ctx.Err()
		}
		switch {
		case r.needsSearch():
			r.search(ctx)
			pause, refresh = searchInterval, minRefreshInterval
		case r.needsRefresh():
			r.refresh(ctx)
			pause = sleep.Jitter(refresh)
			refresh = min(2*refresh, maxRefreshInterval)
		default:
			pause, refresh = minRefreshInterval, minRefreshInterval
		}
	}
}

// needsRefresh reports whether any follower has lost the store or has no snapshot yet.
func (r *CopyReader) needsRefresh() bool {
	for _, follower := range r.followers {
		if follower.IsLost() || !follower.IsKnown() {
			return true
		}
	}
	return false
}

// needsSearch reports whether any follower has no snapshot yet.
func (r *CopyReader) needsSearch() bool {
	for _, follower := range r.followers {
		if !follower.IsKnown() {
			return true
		}
	}
	return false
}

// search asks the first holders with staggered, overlapping requests until every follower has
// a snapshot.
func (r *CopyReader) search(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	holders := r.holders()
	var requests sync.WaitGroup
	for index, holder := range holders[:min(len(holders), maxSearchedHolders)] {
		requests.Go(func() {
			if sleep.For(ctx, time.Duration(index)*searchStagger) != nil {
				return
			}
			r.fetch(ctx, holder)
			if !r.needsSearch() {
				cancel()
			}
		})
	}
	requests.Wait()
}

// refresh fetches the copies of the next holder, as the previous one may be behind others.
func (r *CopyReader) refresh(ctx context.Context) {
	holders := r.holders()
	if len(holders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.refreshCount++
	r.fetch(ctx, holders[r.refreshCount%len(holders)])
}

// fetch fetches the copies of one holder and offers them to the followers.
func (r *CopyReader) fetch(ctx context.Context, holder netip.AddrPort) {
	copies, err := r.fetcher.FetchMirror(ctx, holder)
	if err != nil {
		r.logger.Debug("cannot fetch mirrored objects", zap.Stringer("holder", holder), zap.Error(err))
		return
	}
	r.offer(holder, copies)
}

// offer passes each copy to the follower of its kind, unless that hears from the store.
func (r *CopyReader) offer(holder netip.AddrPort, copies []Copy) {
	for _, received := range copies {
		follower, followed := r.followers[received.Kind]
		if !followed || follower.IsKnown() && !follower.IsLost() || !follower.ApplyIfNewer(received.Snapshot) {
			continue
		}
		r.logger.Info("mirrored objects taken", zap.String("objects", received.Kind), zap.Stringer("holder", holder),
			zap.Int64("revision", received.Snapshot.At), zap.Int("count", len(received.Snapshot.Objects)), r.age(received))
	}
}

func (r *CopyReader) age(received Copy) zap.Field {
	if received.ReceivedAt.IsZero() {
		return zap.String("age", "unknown")
	}
	return zap.Duration("age", r.now().Sub(received.ReceivedAt))
}
