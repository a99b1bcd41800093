package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// closeTimeout limits how long Close waits for a target that doesn't accept writes.
const closeTimeout = time.Second

// AsyncWriter writes lines from a background goroutine, so that a slow target doesn't
// block callers. Lines that don't fit into the queue are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter starts a writer to target that queues up to capacity lines.
func NewAsyncWriter(target io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(target)
	return w
}

// run writes queued lines until Close is called.
func (w *AsyncWriter) run(target io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// A failure to write the log can't be logged.
			_, _ = target.Write(line)
		case <-w.closing:
			w.drain(target)
			return
		}
	}
}

// drain writes the lines that are queued at present.
func (w *AsyncWriter) drain(target io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = target.Write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer. It never blocks. Lines written after Close are lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and returns after closeTimeout at the latest.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// RateLimited returns a logger that writes at most perSecond lines per second, with bursts of up
// to burst lines. Lines above the limit are dropped, and the next line written has their
// number in the field dropped_before.
func RateLimited(logger *zap.Logger, perSecond float64, burst int) *zap.Logger {
	limiter := &lineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return rateLimitedCore{Core: core, shared: limiter}
	}))
}

// Limits of the logger that RateLimitedForFollowers returns. While the store is unreachable, each follower
// tries other holders several times a second.
const (
	followerLogRate  = 10 // lines per second
	followerLogBurst = 50 // lines
)

// RateLimitedForFollowers returns a rate-limited logger for components that follow the store and for
// quota slots and their holders, which can fail just as often.
func RateLimitedForFollowers(logger *zap.Logger) *zap.Logger {
	return RateLimited(logger, followerLogRate, followerLogBurst)
}

// lineLimiter is the state that a limited logger shares with the loggers derived from it.
type lineLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// rateLimitedCore drops entries above the rate of its lineLimiter.
type rateLimitedCore struct {
	zapcore.Core
	shared *lineLimiter
}

// With implements zapcore.Core.
func (c rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return rateLimitedCore{Core: c.Core.With(fields), shared: c.shared}
}

// Check implements zapcore.Core.
func (c rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if !c.shared.limiter.Allow() {
		c.shared.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c rateLimitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if dropped := c.shared.dropped.Swap(0); dropped > 0 {
		fields = append(fields, zap.Uint64("dropped_before", dropped))
	}
	return c.Core.Write(entry, fields)
}
