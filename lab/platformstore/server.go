package platformstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/standin"
)

// Mode is how the store answers.
type Mode int

// Modes of the store.
const (
	// Up answers properly.
	Up Mode = iota
	// Busy answers 503.
	Busy
	// Many answers 429.
	Many
	// Reset breaks connections.
	Reset
	// Silent reads requests and says nothing.
	Silent
)

const (
	// pageSize is the number of objects of one page of a list.
	pageSize = 50
	// maxWait is the longest that a watch is held.
	maxWait = 30 * time.Second
	// maxBodyBytes is the greatest size of an object.
	maxBodyBytes = 1 << 20
)

// Server is the store behind HTTP. It is safe for concurrent use.
type Server struct {
	data *data
	mux  *http.ServeMux

	mutex sync.Mutex
	mode  Mode
	delay time.Duration
	// lose is how many of the next writes are done and not answered.
	lose  int
	calls int
}

// New makes an empty store that is up.
func New() *Server {
	s := &Server{data: newData(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /objects/{kind}", s.list)
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	s.mux.HandleFunc("POST /objects/{kind}", s.create)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.replace)
	s.mux.HandleFunc("PUT /objects/{kind}/{name}/status", s.replaceStatus)
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	return s
}

// SetMode changes how the store answers from now on.
func (s *Server) SetMode(mode Mode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode = mode
}

// SetDelay makes each answer late.
func (s *Server) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// LoseAnswers does the next writes without answering them.
func (s *Server) LoseAnswers(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lose = count
}

// Compact forgets the history: older watches get 410.
func (s *Server) Compact() { s.data.compact() }

// Calls is how many calls were made so far.
func (s *Server) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Put writes an object as the operator or a runner does, whatever the mode.
func (s *Server) Put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, encoded)
}

// PutRaw writes an object whose content is listed byte for byte, valid JSON or not.
func (s *Server) PutRaw(kind, name string, spec []byte) {
	s.change(kind, name, func(object *Object) { object.Spec = spec })
}

// PutRawStatus replaces an object's status like PutRaw.
func (s *Server) PutRawStatus(kind, name string, status []byte) {
	s.change(kind, name, func(object *Object) { object.Status = status })
}

// PutRawObject writes an object that is listed in its place by name as these bytes.
func (s *Server) PutRawObject(kind, name string, raw []byte) {
	s.change(kind, name, func(object *Object) { object.raw = raw })
}

func (s *Server) change(kind, name string, apply func(object *Object)) {
	s.data.mutex.Lock()
	defer s.data.mutex.Unlock()
	object := s.data.kinds[kind][name]
	object.Metadata.Name, object.raw = name, nil
	apply(&object)
	s.data.write(kind, object, false)
}

// Remove removes an object, whatever the mode.
func (s *Server) Remove(kind, name string) {
	s.data.mutex.Lock()
	defer s.data.mutex.Unlock()
	if object, found := s.data.kinds[kind][name]; found {
		s.data.write(kind, object, true)
	}
}

// Get returns an object.
func (s *Server) Get(kind, name string) (Object, bool) {
	s.data.mutex.Lock()
	defer s.data.mutex.Unlock()
	object, found := s.data.kinds[kind][name]
	return object, found
}

// ServeHTTP serves the store in its present mode.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	mode, delay := s.mode, s.delay
	s.mutex.Unlock()
	if !standin.Delay(r, delay) {
		return
	}
	if s.fails(w, r, mode) {
		return
	}
	s.mux.ServeHTTP(w, r)
}

// fails answers in a mode other than Up, and reports whether it did.
func (s *Server) fails(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Many:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

// losesAnswer reports whether the write that was just done stays unanswered.
func (s *Server) losesAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	items, more, at := s.data.page(r.PathValue("kind"), query.Get("after"), pageSize)
	encoded := make([][]byte, 0, len(items))
	for _, item := range items {
		encoded = append(encoded, item.wire())
	}
	writeRaw(w, fmt.Appendf(nil, `{"items":[%s],"more":%t,"at":%d}`, bytes.Join(encoded, []byte(",")), more, at))
}

// watch holds the call until there is a change or the wait is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(milliseconds)*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := false; ; {
		past, at, known, changed := s.data.since(r.PathValue("kind"), from)
		switch {
		case !known:
			w.WriteHeader(http.StatusGone)
			return
		case len(past) > 0 || over:
			s.answerWatch(w, r, past, at)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch answers in the mode of the moment, which may have changed since
// the call came.
func (s *Server) answerWatch(w http.ResponseWriter, r *http.Request, past []change, at int64) {
	s.mutex.Lock()
	mode := s.mode
	s.mutex.Unlock()
	if s.fails(w, r, mode) {
		return
	}
	events := make([][]byte, 0, len(past))
	for _, one := range past {
		events = append(events, fmt.Appendf(nil, `{"gone":%t,"object":%s}`, one.gone, one.object.wire()))
	}
	writeRaw(w, fmt.Appendf(nil, `{"events":[%s],"at":%d}`, bytes.Join(events, []byte(",")), at))
}

// writeRaw answers with a body that needn't be valid JSON. Where that fails, the client has
// gone.
func writeRaw(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, found := s.Get(r.PathValue("kind"), r.PathValue("name"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, object)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	object, valid := readObject(w, r)
	if !valid {
		return
	}
	s.data.mutex.Lock()
	known, exists := s.data.kinds[r.PathValue("kind")][object.Metadata.Name]
	if !exists {
		object = s.data.write(r.PathValue("kind"), object, false)
	}
	s.data.mutex.Unlock()
	if exists {
		standin.WriteJSON(w, http.StatusConflict, known)
		return
	}
	s.answerWrite(w, object)
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(known *Object, sent Object) {
		known.Spec, known.raw = sent.Spec, nil
		known.Metadata.Finalizers = sent.Metadata.Finalizers
	})
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(known *Object, sent Object) { known.Status = sent.Status })
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.data.mutex.Lock()
	object, found := s.data.kinds[r.PathValue("kind")][r.PathValue("name")]
	if found {
		s.data.write(r.PathValue("kind"), object, true)
	}
	s.data.mutex.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answerWrite(w, object)
}

// update changes an object, unless the request names a revision that the object
// no longer has.
func (s *Server) update(w http.ResponseWriter, r *http.Request, apply func(known *Object, sent Object)) {
	sent, valid := readObject(w, r)
	if !valid {
		return
	}
	s.data.mutex.Lock()
	known, found := s.data.kinds[r.PathValue("kind")][r.PathValue("name")]
	conflict := found && sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision
	if found && !conflict {
		apply(&known, sent)
		known = s.data.write(r.PathValue("kind"), known, false)
	}
	s.data.mutex.Unlock()
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case conflict:
		standin.WriteJSON(w, http.StatusConflict, known)
	default:
		s.answerWrite(w, known)
	}
}

func (s *Server) answerWrite(w http.ResponseWriter, object Object) {
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, object)
}

func readObject(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var object Object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return Object{}, false
	}
	return object, true
}
