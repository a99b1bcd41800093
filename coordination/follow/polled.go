package follow

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// NewPollingSource returns a source that lists at a fixed interval instead of long polling, so that
// each answer proves that the store had nothing newer when the request was sent. The
// listings of the source must be linearizable. A long poll proves less at the same cost:
// its answer only covers the time at which the request was sent, a whole wait ago, and a
// store that compacts its history may not answer with the changes.
func NewPollingSource(source Source, interval time.Duration, now func() time.Time) Source {
	return &pollingSource{source: source, interval: interval, now: now}
}

type pollingSource struct {
	source   Source
	interval time.Duration
	now      func() time.Time
	// lastListing is when the last listing was requested. Calls don't overlap.
	lastListing time.Time
}

// List implements Source. It fails if there is no answer within the interval: the next
// listing is then due, and the recovery of the store must be noticed soon.
func (p *pollingSource) List(ctx context.Context) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	p.lastListing = p.now()
	snapshot, err := p.source.List(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot.FreshAt = p.lastListing
	return snapshot, nil
}

// Watch implements Source. It lists once the interval has passed since the last
// listing.
func (p *pollingSource) Watch(ctx context.Context, _ int64, _ time.Duration) (Changes, error) {
	if err := sleep.For(ctx, p.interval-p.now().Sub(p.lastListing)); err != nil {
		return Changes{}, err
	}
	snapshot, err := p.List(ctx)
	if err != nil {
		return Changes{}, err
	}
	return snapshot.Changes(), nil
}
