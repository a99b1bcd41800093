package runner

import (
	"net/http"
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
)

// crash is when and how a runner ends.
type crash struct {
	// text is in the body or the target of requests that end the runner; empty for none.
	text string
	// delay is how long such a request runs before.
	delay  time.Duration
	ending Ending
	// at is when the runner first ended; zero until then.
	at time.Time
	// ends counts its ends.
	ends int
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

// Ends returns how often the runner has ended.
func (r *Runner) Ends() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crash.ends
}

func (r *Runner) noteCrash() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.crash.at.IsZero() {
		r.crash.at = time.Now()
	}
	r.crash.ends++
}

// end ends the runner as it was told.
func (r *Runner) end(ending Ending) {
	switch ending {
	case Crashes:
		r.Crash()
	case FallsSilent:
		if r.sockets.silence() {
			r.noteCrash()
		}
	case StartsAgain:
		r.noteCrash()
		r.mutex.Lock()
		r.started = time.Now()
		r.mutex.Unlock()
		r.sockets.reset()
	}
}

// crashUnder ends the runner if the request is one that does so.
func (r *Runner) crashUnder(request *http.Request, body string) {
	r.mutex.Lock()
	text, delay, ending := r.crash.text, r.crash.delay, r.crash.ending
	r.mutex.Unlock()
	if text == "" || !strings.Contains(body, text) && !strings.Contains(request.RequestURI, text) {
		return
	}
	time.Sleep(delay)
	r.end(ending)
	panic(http.ErrAbortHandler)
}
