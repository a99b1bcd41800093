package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// endCheckTimeout bounds the check of a process whose response ended with its connection.
const endCheckTimeout = 300 * time.Millisecond

// ErrProcessEnded means that the process ended with the connection that alone marks the end of its
// response: the system closes the connections of a process that was killed like those of one that
// has said all.
var ErrProcessEnded = errors.New("the process ended with the connection of its answer")

var errRequestNotWritten = errors.New("the connection ended before the request was written")

// confirmEnd returns an error unless the end of the connection may be that of the body. A reset is
// reported once: if it ends the writing of the request, the reader gets an orderly end.
func (e *exchange) confirmEnd() error {
	if !e.wasWritten() {
		return errRequestNotWritten
	}
	ended := e.client.now()
	witnesses := e.connection.life.idleBefore(ended)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	if e.hasProcessEnded(ctx) {
		return ErrProcessEnded
	}
	// The connections of a process don't break at the same moment, and the system may accept new
	// ones for it until all have.
	_ = sleep.For(ctx, EndSkew-e.client.now().Sub(ended))
	kept, broken := countOpen(witnesses)
	if kept == 0 && (broken > 0 || e.connection.life.wasRefused(ended) || e.hasProcessEnded(ctx)) {
		return ErrProcessEnded
	}
	return nil
}

func (e *exchange) hasProcessEnded(ctx context.Context) bool {
	found := e.client.probeEnd(ctx, e.endpoint, 0)
	return found == LifeEnded || found == LifeSilent
}

// idleBefore returns the idle connections that the process had accepted by then, and won't close
// soon because they are idle. Only the end of the process breaks these.
func (l *life) idleBefore(at time.Time) (idle []*connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		isIdle := !candidate.inUse.Load() && at.Sub(candidate.lastUse()) < minIdleClose
		if isIdle && !candidate.acceptedAt().After(at) {
			idle = append(idle, candidate)
		}
	}
	return idle
}

// countOpen returns how many of the connections are open, and how many the process has broken
// that this process hasn't closed.
func countOpen(connections []*connection) (kept, broken int) {
	for _, candidate := range connections {
		switch {
		case candidate.isEstablished():
			kept++
		case !candidate.isClosed.Load():
			broken++
		}
	}
	return kept, broken
}
