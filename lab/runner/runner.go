// Package runner is a stand-in of a runner of the users' platform: it answers
// plain requests and streams, notes what it ran, and misbehaves as it is told.
package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform that runners read or write.
const (
	HeaderID          = "X-Request-Id"
	HeaderExpect      = "X-Expect-Instance"
	HeaderNotExecuted = "X-Not-Executed"
	HeaderSeal        = "X-Response-Seal"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderTenant      = "X-Tenant"
)

// reportPath is where a runner reports about itself.
const reportPath = "/report"

// maxRefusalDelay bounds the wait for connections to be refused. Another process may have
// got the address.
const maxRefusalDelay = time.Second

// systemHeaders name a reservation or a copy of memory. A runner refuses requests
// that name one which it doesn't have, and this stand-in has none.
func systemHeaders() []string { return []string{"X-Hold", "Kv-From", "X-Kv-Backup"} }

// Fault is how a runner treats a request.
type Fault int

// Faults.
const (
	// None answers properly.
	None Fault = iota
	// Refuse promises that the request wasn't run.
	Refuse
	// LoseAnswer runs the request and closes the connection.
	LoseAnswer
	// CutAnswer breaks off in the middle of an answer.
	CutAnswer
	// Garbage answers with bytes that aren't HTTP.
	Garbage
	// ForeignFirst sends an answer to another request before the right one.
	ForeignFirst
	// Surplus sends another answer after the right one.
	Surplus
	// NoSeal leaves the signature out.
	NoSeal
	// FalsePromise answers 503 without saying that nothing was run.
	FalsePromise
	// Hang runs the request and never answers.
	Hang
	// EarlyAnswer answers before it has read the body.
	EarlyAnswer
	// Unframed answers without a length; the connection's end ends the answer.
	Unframed
	// The following send bytes until the client closes the connection. EndlessBytes sends no
	// line end, EndlessHeaderLine one header line, EndlessHeaders header lines,
	// EndlessInterims interim responses and EndlessComments a stream of comments.
	EndlessBytes
	EndlessHeaderLine
	EndlessHeaders
	EndlessInterims
	EndlessComments
	// EndlessEvents sends a stream of events, EndlessChunks a body in chunks and EndlessBody one
	// that the end of the connection would end.
	EndlessEvents
	EndlessChunks
	EndlessBody
	// SlowHead sends a byte of a head each slowPause, SlowEvent a byte of a stream's first event and
	// SlowComment one of a comment before it.
	SlowHead
	SlowEvent
	SlowComment
)

// Run is one request that was run.
type Run struct {
	ID        string
	Method    string
	Target    string
	Header    http.Header
	Body      string
	LastEvent string
	// Began and Ended are when the work on it did; Ended is zero until then.
	Began, Ended time.Time
}

// Runner is one start of a runner.
type Runner struct {
	// Instance is the id of this start, Address where it listens.
	Instance string
	Address  string
	// Events is how many events a stream has; zero answers plainly.
	Events int
	// Mark is added to the data of each event; empty for none. It must be set before the
	// first request.
	Mark string

	sockets *sockets
	server  *http.Server

	mutex sync.Mutex
	fault Fault
	// times is how many requests the fault hits; negative for all.
	times int
	runs  []*Run
	early []string
	pause time.Duration
	// left counts requests whose client left while they ran.
	left  int
	crash crash
	// started is when the current process of the runner started.
	started  time.Time
	brokenAt time.Time
	// mostSent is the most that was sent on one connection by a fault without end, in bytes.
	mostSent int64
}

// Start runs a runner on a free loopback port until Close.
func Start(instance string, events int) (*Runner, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{Instance: instance, Address: socket.Addr().String(), Events: events, sockets: newSockets(socket), started: time.Now()}
	r.server = &http.Server{Handler: r, ConnContext: withMark}
	go func() { _ = r.server.Serve(r.sockets) }()
	return r, nil
}

// Close ends the runner and its connections. As when a process ends, no connection breaks
// while new ones are accepted.
func (r *Runner) Close() {
	_ = r.sockets.Close()
	r.awaitRefusal()
	r.mutex.Lock()
	if r.brokenAt.IsZero() {
		r.brokenAt = time.Now()
	}
	r.mutex.Unlock()
	_ = r.server.Close()
}

// Started returns when the current process of the runner started.
func (r *Runner) Started() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.started
}

// BrokenAt returns when the connections of the runner broke; zero if they haven't.
func (r *Runner) BrokenAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.brokenAt
}

// awaitRefusal waits until connections are refused. The system keeps accepting them for a
// closed socket until a child process that is being started has given up its copy.
func (r *Runner) awaitRefusal() {
	for end := time.Now().Add(maxRefusalDelay); time.Now().Before(end); time.Sleep(time.Millisecond) {
		connection, err := net.DialTimeout("tcp", r.Address, maxRefusalDelay)
		if err != nil {
			return
		}
		_ = connection.Close()
	}
}

// SetFault treats the next requests so; a negative number means all.
func (r *Runner) SetFault(fault Fault, times int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault, r.times = fault, times
}

// Runs returns what was run so far.
func (r *Runner) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make([]Run, len(r.runs))
	for index, run := range r.runs {
		runs[index] = *run
	}
	return runs
}

// SetPause makes a pause before each event of a stream and before each plain answer.
func (r *Runner) SetPause(pause time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pause = pause
}

// ForgetRuns empties the list of what was run.
func (r *Runner) ForgetRuns() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = nil
}

// Left is how many requests lost their client while they ran.
func (r *Runner) Left() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.left
}

// ServeHTTP serves one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(HeaderExpect); expected != "" && expected != r.Instance {
		w.Header().Set("X-Instance-Id", r.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == reportPath {
		fmt.Fprintf(w, `{"num_running":0,"born":%d}`, r.Started().UnixMilli())
		return
	}
	if r.namesUnknown(request) {
		r.refuse(w, request)
		return
	}
	fault := r.takeFault()
	w.Header().Set(HeaderID, request.Header.Get(HeaderID))
	if fault == Refuse {
		r.refuse(w, request)
		return
	}
	if fault == EarlyAnswer {
		r.answerEarly(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	defer r.noteEnd(r.note(request, string(body)))
	r.crashUnder(request, string(body))
	r.answer(w, request, fault)
}

// namesUnknown reports whether a request names a reservation or a copy of
// memory.
func (r *Runner) namesUnknown(request *http.Request) bool {
	for _, name := range systemHeaders() {
		if request.Header.Get(name) != "" {
			return true
		}
	}
	return false
}

// refuse promises that the request wasn't run.
func (r *Runner) refuse(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(HeaderID, request.Header.Get(HeaderID))
	w.Header().Set(HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ReadAfterAnswer returns the bodies that were read whole after an early answer.
func (r *Runner) ReadAfterAnswer() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.early...)
}

func (r *Runner) takeFault() Fault {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.times == 0 {
		return None
	}
	if r.times > 0 {
		r.times--
	}
	return r.fault
}

func (r *Runner) note(request *http.Request, body string) *Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := &Run{
		ID: request.Header.Get(HeaderID), Method: request.Method, Target: request.RequestURI,
		Header: request.Header.Clone(), Body: body, LastEvent: request.Header.Get(HeaderLastEvent), Began: time.Now(),
	}
	r.runs = append(r.runs, run)
	return run
}

func (r *Runner) noteEnd(run *Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.Ended = time.Now()
}
