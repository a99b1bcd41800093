package runner

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Ending is how a runner ends under a lethal request.
type Ending int

// Endings.
const (
	// Crashes breaks all connections and refuses new ones.
	Crashes Ending = iota
	// FallsSilent keeps all connections and says nothing more; new ones hang.
	FallsSilent
	// StartsAgain breaks all connections and takes new ones at once, as another process under
	// the same id and address.
	StartsAgain
	// StopsAccepting breaks all connections, and refuses new ones only after listenerLinger:
	// until then they open and say nothing.
	StopsAccepting
)

// listenerLinger is how long a listening socket may outlive the process that served it.
const listenerLinger = time.Second

// crash is when and how a runner ends.
type crash struct {
	// text is in the body or the target of requests that end the runner; empty for none.
	text string
	// delay is how long such a request runs before.
	delay  time.Duration
	ending Ending
	// at is when the runner first ended; zero until then.
	at time.Time
	// ends are the times of all its ends.
	ends []time.Time
}

// CrashOn lets the runner crash under each request whose body or target contains the text,
// once it has run for delay, whether its client is still there or not.
func (r *Runner) CrashOn(text string, delay time.Duration) { r.EndOn(text, delay, Crashes) }

// EndOn is CrashOn with another ending.
func (r *Runner) EndOn(text string, delay time.Duration, ending Ending) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crash.text, r.crash.delay, r.crash.ending = text, delay, ending
}

// Crash ends the runner and its connections without a response to the requests on it.
func (r *Runner) Crash() {
	r.noteCrash()
	r.Close()
}

// CrashedAt returns when the runner first ended under a request or crashed; zero if it hasn't.
func (r *Runner) CrashedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crash.at
}

// Ends returns when the processes of the runner have ended.
func (r *Runner) Ends() []time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.crash.ends)
}

// IsSilent reports whether the runner says nothing more.
func (r *Runner) IsSilent() bool {
	r.sockets.mutex.Lock()
	defer r.sockets.mutex.Unlock()
	return r.sockets.isSilent
}

func (r *Runner) noteCrash() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if r.crash.at.IsZero() {
		r.crash.at = now
	}
	r.crash.ends = append(r.crash.ends, now)
}

// end ends the process that started then as it was told, unless it has ended.
func (r *Runner) end(ending Ending, started time.Time) {
	switch ending {
	case Crashes:
		if r.CrashedAt().IsZero() {
			r.noteCrash()
		}
		r.Close()
	case FallsSilent:
		if r.sockets.silence() {
			r.noteCrash()
		}
	case StopsAccepting:
		if r.sockets.stopAccepting() {
			r.noteCrash()
			r.sockets.reset()
			time.AfterFunc(listenerLinger, r.Close)
		}
	case StartsAgain:
		if r.startAgain(started) {
			r.noteCrash()
			r.sockets.reset()
		}
	}
}

// startAgain begins another process unless the one that started then has ended.
func (r *Runner) startAgain(started time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.started.Equal(started) {
		return false
	}
	r.started = time.Now()
	return true
}

// StartAgainAs breaks all connections and takes new ones at once, as another process under the
// same id and address whose events have the mark. Its Mark stays that of the first process.
func (r *Runner) StartAgainAs(mark string) {
	if r.startAgain(r.Started()) {
		r.noteCrash()
		r.sockets.resetAs(mark)
	}
}

type markKey struct{}

// withMark adds the mark of the process that accepted the connection.
func withMark(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := conn.(*acceptedConn); ok && accepted.mark != nil {
		return context.WithValue(ctx, markKey{}, *accepted.mark)
	}
	return ctx
}

// markOf returns the mark of the process that the request was sent to.
func (r *Runner) markOf(request *http.Request) string {
	if mark, ok := request.Context().Value(markKey{}).(string); ok {
		return mark
	}
	return r.Mark
}

// crashUnder ends the runner if the request is one that does so.
func (r *Runner) crashUnder(request *http.Request, body string) {
	r.mutex.Lock()
	text, delay, ending, started := r.crash.text, r.crash.delay, r.crash.ending, r.started
	r.mutex.Unlock()
	if text == "" || !strings.Contains(body, text) && !strings.Contains(request.RequestURI, text) {
		return
	}
	time.Sleep(delay)
	r.end(ending, started)
	panic(http.ErrAbortHandler)
}
