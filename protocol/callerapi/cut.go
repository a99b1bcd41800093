package callerapi

import (
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/execution"
)

// Deadlines of connections are by the system's clock. The writer of a test may have none,
// so that errors of setting one are ignored.

// cut ends the request: it cancels what the handler waits for, and the answer has until
// the deadline to be written.
func (e *exchange) cut(deadline time.Time) {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	e.cutBy = deadline
	// Only while the body is read: the server takes a read that fails later for a
	// connection that is lost.
	if e.reading {
		_ = e.control.SetReadDeadline(time.Now())
	}
	_ = e.control.SetWriteDeadline(deadline)
	e.cancel(execution.ErrStopping)
	e.handler.options.Logger.Warn("request cut by the drain",
		zap.String("operation", e.operation),
		zap.String("program", e.program),
		zap.String("remote", e.request.RemoteAddr),
		zap.Bool("body_read", !e.reading),
		zap.Duration("duration", e.handler.options.Now().Sub(e.arrived)))
}

func (e *exchange) isCut() bool {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	return !e.cutBy.IsZero()
}

// beginReading bounds how long the body may take.
func (e *exchange) beginReading() {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	e.reading = true
	limit := time.Now()
	if e.cutBy.IsZero() {
		limit = limit.Add(e.handler.options.BodyTimeout)
	}
	_ = e.control.SetReadDeadline(limit)
}

func (e *exchange) endReading() {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	e.reading = false
	if e.cutBy.IsZero() {
		_ = e.control.SetReadDeadline(time.Time{})
	}
}

// extendWriteDeadline bounds how long the next write may wait for the caller.
func (e *exchange) extendWriteDeadline() {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	if e.cutBy.IsZero() {
		_ = e.control.SetWriteDeadline(time.Now().Add(e.handler.options.WriteTimeout))
	}
}

// clearWriteDeadline prepares the connection for its next request.
func (e *exchange) clearWriteDeadline() {
	e.deadlines.Lock()
	defer e.deadlines.Unlock()
	if e.cutBy.IsZero() {
		_ = e.control.SetWriteDeadline(time.Time{})
	}
}
