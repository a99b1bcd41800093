package follow

import (
	"context"
	"time"
)

// Counter counts. prometheus.Counter is one.
type Counter interface{ Inc() }

// Counted returns a source that counts the calls to the given one: each is load for a
// store that many nodes share.
func Counted(source Source, calls Counter) Source { return counted{source, calls} }

type counted struct {
	source Source
	calls  Counter
}

// List implements Source.
func (c counted) List(ctx context.Context) (Snapshot, error) {
	c.calls.Inc()
	return c.source.List(ctx)
}

// Watch implements Source.
func (c counted) Watch(ctx context.Context, from int64, wait time.Duration) (Changes, error) {
	c.calls.Inc()
	return c.source.Watch(ctx, from, wait)
}
