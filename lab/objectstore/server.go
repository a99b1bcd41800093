package objectstore

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/lab/standin"
)

// Default settings of a Server.
const (
	DefaultLogLimit         = 10_000
	DefaultBookmarkInterval = 2 * time.Second
)

// maxBodyBytes is the greatest size of an object's body.
const maxBodyBytes = 4 << 20

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Options are the settings of a Server. The zero value is usable.
type Options struct {
	// Seed determines the spread of delays.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// LogLimit is how many changes a watch can go back; 0 means
	// DefaultLogLimit.
	LogLimit int
	// BookmarkInterval is the time after which a silent watch sends a
	// bookmark; 0 means DefaultBookmarkInterval.
	BookmarkInterval time.Duration
}

// Server is an object API in memory. It is an http.Handler.
type Server struct {
	options  Options
	store    *store
	machines *machineList
	switches *switches
	counters *counters
	mux      *http.ServeMux
}

// New makes an empty Server.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.LogLimit == 0 {
		options.LogLimit = DefaultLogLimit
	}
	if options.BookmarkInterval == 0 {
		options.BookmarkInterval = DefaultBookmarkInterval
	}
	s := &Server{
		options:  options,
		store:    newStore(options.LogLimit),
		machines: newMachineList(),
		switches: newSwitches(options.Seed),
		counters: newCounters(),
		mux:      http.NewServeMux(),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /api", s.guard(requestListAll, s.handleListAll))
	s.mux.HandleFunc("GET /api/{kind}", s.guard(requestList, s.handleList))
	s.mux.HandleFunc("GET /api/{kind}/{name}", s.guard(requestGet, s.handleGet))
	s.mux.HandleFunc("PUT /api/{kind}/{name}", s.guard(requestPut, s.handlePut))
	s.mux.HandleFunc("DELETE /api/{kind}/{name}", s.guard(requestDelete, s.handleDelete))
	s.mux.HandleFunc("GET /watch", s.guard(requestWatch, s.handleWatch))
	s.mux.HandleFunc("GET /machines", s.guard(requestMachines, s.handleMachines))

	s.mux.HandleFunc("PUT /machines/{name}", s.handlePutMachine)
	s.mux.HandleFunc("DELETE /machines/{name}", s.handleDeleteMachine)
	s.mux.HandleFunc("POST /control/faults", s.handleFaults)
	s.mux.HandleFunc("GET /control/faults", s.handleShowFaults)
	s.mux.HandleFunc("GET /control/stats", s.handleStats)
}

// ServeHTTP serves the object API and the /control switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults sets the switches, as POST /control/faults does.
func (s *Server) SetFaults(faults Faults) {
	s.switches.set(faults)
	if faults.Compact {
		s.store.compact()
	}
	s.store.wake()
}

// Stats returns the counters, as GET /control/stats does.
func (s *Server) Stats() Stats {
	return s.counters.snapshot(s.store.list("").Revision)
}

// PutMachine adds or replaces a machine of the list.
func (s *Server) PutMachine(machine Machine) {
	s.machines.put(s.options.Now(), machine)
}

// guard counts the request and applies the switches that concern every one.
func (s *Server) guard(kind string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counters.request(kind)
		if r.Method == http.MethodGet {
			defer s.counters.beginRead(r)()
		}
		if s.switches.isDown() {
			writeError(w, http.StatusServiceUnavailable, "the object API is down; nothing was done")
			return
		}
		if !standin.Delay(r, s.switches.delay()) {
			return
		}
		handle(w, r)
	}
}

func (s *Server) handleListAll(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.store.list(""))
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.store.list(r.PathValue("kind")))
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	object, found := s.store.get(pathKey(r))
	if !found {
		writeError(w, http.StatusNotFound, "no such object")
		return
	}
	standin.WriteJSON(w, http.StatusOK, object)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	at := pathKey(r)
	if !namePattern.MatchString(at.kind) || !namePattern.MatchString(at.name) {
		writeError(w, http.StatusBadRequest, "kind and name must match "+namePattern.String())
		return
	}
	wanted, err := readCondition(r)
	if err != nil {
		writeError(w, http.StatusPreconditionRequired, err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "can't read the body: "+err.Error())
		return
	}
	if !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "the body isn't JSON")
		return
	}
	object, result := s.store.put(at, wanted, body)
	s.answerWrite(w, object, result)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	wanted, err := readCondition(r)
	if err != nil || wanted.absent {
		writeError(w, http.StatusPreconditionRequired, "a deletion needs If-Match: <version>")
		return
	}
	object, result := s.store.remove(pathKey(r), wanted)
	s.answerWrite(w, object, result)
}

// answerWrite answers a write, or cuts the connection where its answer is to
// be lost.
func (s *Server) answerWrite(w http.ResponseWriter, object Object, result outcome) {
	if s.switches.takeLoss() {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case conflict:
		standin.WriteJSON(w, http.StatusConflict, object)
	case missing:
		writeError(w, http.StatusNotFound, "no such object")
	default:
		standin.WriteJSON(w, http.StatusOK, object)
	}
}

func (s *Server) handleMachines(w http.ResponseWriter, _ *http.Request) {
	moment := s.options.Now().Add(-s.switches.lag())
	machines := s.machines.at(moment)
	if machines == nil {
		machines = []Machine{}
	}
	standin.WriteJSON(w, http.StatusOK, MachineList{Machines: machines})
}

func (s *Server) handlePutMachine(w http.ResponseWriter, r *http.Request) {
	var machine Machine
	if err := standin.Read(w, r, maxBodyBytes, &machine); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	machine.Name = r.PathValue("name")
	if machine.State != "live" && machine.State != "leaving" {
		writeError(w, http.StatusBadRequest, `state must be "live" or "leaving"`)
		return
	}
	s.PutMachine(machine)
	standin.WriteJSON(w, http.StatusOK, machine)
}

func (s *Server) handleDeleteMachine(w http.ResponseWriter, r *http.Request) {
	s.machines.remove(s.options.Now(), r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := standin.Read(w, r, maxBodyBytes, &faults); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, s.switches.get())
}

func (s *Server) handleShowFaults(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.switches.get())
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

func pathKey(r *http.Request) key {
	return key{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

// readCondition reads If-Match or If-None-Match (RFC 9110, section 13.1).
func readCondition(r *http.Request) (condition, error) {
	match := r.Header.Get("If-Match")
	noneMatch := r.Header.Get("If-None-Match")
	if match == "" && noneMatch == "*" {
		return condition{absent: true}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || noneMatch != "" {
		return condition{}, merry.Errorf("a write needs either If-Match: <version> or If-None-Match: *")
	}
	return condition{version: version}, nil
}

type errorAnswer struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	standin.WriteJSON(w, status, errorAnswer{Error: message})
}
