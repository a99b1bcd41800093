package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
)

// recentRequests is how many ended requests can still be resumed, and are known
// as duplicates.
const recentRequests = 4096

// Options describe one engine.
type Options struct {
	Name       string
	Generation string
	Zone       string
	Models     []string
	Adapters   []string
	// Seed decides the text of the answers; engines of one fleet share it.
	Seed uint64
	// TimeScale is how many seconds of the engine pass in one real second;
	// zero is 1.
	TimeScale float64
	// Clock gives the wall time of ledger entries and answers; nil is time.Now.
	Clock func() time.Time
}

// Server is an engine behind HTTP.
type Server struct {
	options Options
	mux     *http.ServeMux
	ledger  *ledger.Ledger
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	requests map[string]*stream
	ended    []string
	holds    map[string]uint64
	state    engineapi.State
}

// New returns a running engine. Close ends it.
func New(options Options) *Server {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		options:  options,
		mux:      http.NewServeMux(),
		ledger:   ledger.New(0),
		context:  ctx,
		cancel:   cancel,
		requests: make(map[string]*stream),
		holds:    make(map[string]uint64),
		state: engineapi.State{
			Engine:     options.Name,
			Generation: options.Generation,
			Role:       "mixed",
			Models:     slices.Clone(options.Models),
			Adapters:   append([]string{}, options.Adapters...),
		},
	}
	server.routes()
	return server
}

// ServeHTTP serves the engine dialect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends all running requests and waits for them.
func (s *Server) Close() {
	s.cancel()
	s.running.Wait()
}

// Drain makes the engine refuse new requests. Running ones go on.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Leaving = true
}

// Ledger returns the record of everything that reached the engine.
func (s *Server) Ledger() *ledger.Ledger {
	return s.ledger
}

func (s *Server) routes() {
	s.mux.Handle("GET /ledger", s.ledger)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("GET /v1/requests/{id}", s.resume)
	s.mux.HandleFunc("POST /v1/requests/{id}/cancel", s.cancelRequest)
	s.mux.HandleFunc("GET /v1/holds", s.listHolds)
	s.mux.HandleFunc("DELETE /v1/holds/{program}", s.release)
	s.mux.HandleFunc("GET /v1/state", s.readState)
	s.mux.HandleFunc("GET /metrics", s.metrics)
}
