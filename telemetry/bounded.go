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

// closeTimeout bounds Close where nobody reads the log (chosen, not measured).
const closeTimeout = time.Second

// AsyncWriter writes lines in a goroutine of its own, so that a reader that is
// slow holds up nobody. Lines that find no room are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter makes a writer to the target with room for so many lines that wait.
func NewAsyncWriter(target io.Writer, room int) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, room), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(target)
	return w
}

// run writes lines until Close.
func (w *AsyncWriter) run(target io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// Nobody can be told that the log can't be written.
			_, _ = target.Write(line)
		case <-w.closing:
			w.writeRest(target)
			return
		}
	}
}

// writeRest writes what waits now.
func (w *AsyncWriter) writeRest(target io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = target.Write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer. It never blocks; lines after Close are lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines found no room.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for closeTimeout at most.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Limited returns a logger that writes at most so many lines a second, and after a quiet
// time a burst at once. Further lines are dropped; the next one that is written says how
// many these were.
func Limited(logger *zap.Logger, perSecond float64, burst int) *zap.Logger {
	limiter := &lineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return limitedCore{Core: core, shared: limiter}
	}))
}

// followLines bounds the lines a second about the ways by which a node follows the store,
// and followBurst is what may be saved up: while the store is away each follower tries
// other holders several times a second (both chosen, not measured).
const (
	followLines = 10
	followBurst = 50
)

// Following returns the logger for the ways by which a node follows the store, and for
// slots of quotas and their holders, which fail as often.
func Following(logger *zap.Logger) *zap.Logger { return Limited(logger, followLines, followBurst) }

// lineLimiter is what the loggers that were made of one limited logger share.
type lineLimiter struct {
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// limitedCore applies a limit to a logger.
type limitedCore struct {
	zapcore.Core
	shared *lineLimiter
}

// With implements zapcore.Core.
func (c limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{Core: c.Core.With(fields), shared: c.shared}
}

// Check implements zapcore.Core.
func (c limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
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
func (c limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if dropped := c.shared.dropped.Swap(0); dropped > 0 {
		fields = append(fields, zap.Uint64("dropped_before", dropped))
	}
	return c.Core.Write(entry, fields)
}
