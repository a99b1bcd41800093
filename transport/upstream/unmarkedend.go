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
	ended := e.client.now()
	witnesses := e.connection.life.idleBefore(ended)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	if !e.awaitWritten(ctx) {
		return errRequestNotWritten
	}
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

// awaitWritten waits until the request was written, and reports whether it was. An answer may come
// before its process has read the whole request, and before the writer has noted its own end.
func (e *exchange) awaitWritten(ctx context.Context) bool {
	select {
	case <-e.written:
	case <-ctx.Done():
	}
	return e.wasWritten()
}

func (e *exchange) hasProcessEnded(ctx context.Context) bool {
	found := e.client.probeEnd(ctx, e.endpoint, 0)
	return found == LifeEnded || found == LifeSilent
}

// maxWitnessIdle is how long a witness may have been idle, so that its process doesn't close it
// for that during the check.
const maxWitnessIdle = minIdleClose - 2*EndSkew

// witness is an idle connection to a process, which only the end of the process breaks.
type witness struct {
	connection *connection
	// lastUse is when it was last used as the witness was chosen.
	lastUse time.Time
}

// idleBefore returns the idle connections that the process had accepted by then, and won't close
// soon because they are idle.
func (l *life) idleBefore(at time.Time) (idle []witness) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for candidate := range l.open {
		lastUse := candidate.lastUse()
		isIdle := !candidate.inUse.Load() && at.Sub(lastUse) < maxWitnessIdle
		if isIdle && !candidate.acceptedAt().After(at) {
			idle = append(idle, witness{candidate, lastUse})
		}
	}
	return idle
}

// countOpen returns how many of the connections are open, and how many the process has broken. One
// that was used since, or that this process has closed, tells nothing.
func countOpen(witnesses []witness) (kept, broken int) {
	for _, one := range witnesses {
		candidate := one.connection
		isUsed := candidate.inUse.Load() || !candidate.lastUse().Equal(one.lastUse)
		switch {
		case candidate.isEstablished():
			kept++
		case !isUsed && (!candidate.isClosed.Load() || candidate.closedAt.Load() != 0):
			broken++
		}
	}
	return kept, broken
}
