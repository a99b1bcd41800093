package runner

import (
	"net/http"
	"strings"
	"time"
)

// crash is when and how a runner crashes.
type crash struct {
	// text is in the body or the target of requests that crash the runner; empty for none.
	text string
	// delay is how long such a request runs before.
	delay time.Duration
	// at is when the runner crashed; zero until then.
	at time.Time
}

// CrashOn lets the runner crash under each request whose body or target contains the text,
// once it has run for delay.
func (r *Runner) CrashOn(text string, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crash.text, r.crash.delay = text, delay
}

// Crash ends the runner and its connections without a response to the requests on it.
func (r *Runner) Crash() {
	r.mutex.Lock()
	if r.crash.at.IsZero() {
		r.crash.at = time.Now()
	}
	r.mutex.Unlock()
	r.Close()
}

// CrashedAt returns when the runner crashed; zero if it hasn't.
func (r *Runner) CrashedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crash.at
}

// crashUnder crashes the runner if the request is one that does so.
func (r *Runner) crashUnder(request *http.Request, body string) {
	r.mutex.Lock()
	text, delay := r.crash.text, r.crash.delay
	r.mutex.Unlock()
	if text == "" || !strings.Contains(body, text) && !strings.Contains(request.RequestURI, text) {
		return
	}
	time.Sleep(delay)
	r.Crash()
	panic(http.ErrAbortHandler)
}
