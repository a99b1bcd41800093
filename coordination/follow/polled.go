package follow

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// Polled returns a source that lists at the interval in place of holding calls, so that
// each answer proves that nothing newer existed when it was asked for. The listings of
// the source must be linearizable. A held call proves less for the same price: it proves
// what was so when it was made, so that its answer is a whole wait old at once, and a
// store that is about to forget its history may leave it without an answer about what
// has changed.
func Polled(source Source, interval time.Duration, now func() time.Time) Source {
	return &pollingSource{source: source, interval: interval, now: now}
}

type pollingSource struct {
	source   Source
	interval time.Duration
	now      func() time.Time
	// lastListing is when the source was last lastListing. Calls are made one at a time.
	lastListing time.Time
}

// List implements Source. A listing that isn't answered within the interval is given up:
// the next one is due, and that a store which said nothing has returned has to be found
// soon.
func (p *pollingSource) List(ctx context.Context) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	p.lastListing = p.now()
	snapshot, err := p.source.List(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot.Proved = p.lastListing
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
