package follow

import (
	"context"
	"time"
)

// Counter is the part of prometheus.Counter that NewCountingSource needs.
type Counter interface{ Inc() }

// NewCountingSource wraps a source and counts every call to it, since each is load on the store
// that all nodes share.
func NewCountingSource(source Source, calls Counter) Source { return countingSource{source, calls} }

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
