package follow

import (
	"context"
	"time"
)

// Counter counts. prometheus.Counter is one.
type Counter interface{ Inc() }

// Counted returns a source that counts the calls to the given one: each is load for a
// store that many nodes share.
func Counted(source Source, calls Counter) Source { return countingSource{source, calls} }

type countingSource struct {
	source Source
	calls  Counter
}

// List implements Source.
func (c countingSource) List(ctx context.Context) (Snapshot, error) {
	c.calls.Inc()
	return c.source.List(ctx)
}

// Watch implements Source.
func (c countingSource) Watch(ctx context.Context, from int64, wait time.Duration) (Changes, error) {
	c.calls.Inc()
	return c.source.Watch(ctx, from, wait)
}
