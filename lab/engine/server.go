package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/lab/ledger"
)

// recentRequests is how many ended requests can still be resumed, and are known
// as duplicates.
const recentRequests = 4096

// Server is an engine behind HTTP. It drives a Core in scaled real time.
type Server struct {
	options  Options
	mux      *http.ServeMux
	ledger   *ledger.Ledger
	registry *prometheus.Registry
	context  context.Context
	cancel   context.CancelFunc
	started  time.Time
	wake     chan struct{}
	running  sync.WaitGroup

	// mutex guards the rest.
	mutex  sync.Mutex
	core   *Core
	lastID uint64
	// live are the streams under way by their id in the core, requests all that
	// are known by their request id, ended the oldest of these first.
	live     map[uint64]*stream
	requests map[string]*stream
	ended    []string
	imports  map[uint64]chan struct{}
	faults   Faults
}

// New returns a running engine. Close ends it. It panics where Options.Check
// finds a fault.
func New(options Options) *Server {
	if err := options.Check(); err != nil {
		panic(err)
	}
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		options:  options,
		mux:      http.NewServeMux(),
		ledger:   ledger.New(options.LedgerLimit),
		registry: prometheus.NewRegistry(),
		context:  ctx,
		cancel:   cancel,
		started:  time.Now(),
		wake:     make(chan struct{}, 1),
		core:     newServerCore(options),
		live:     make(map[uint64]*stream),
		requests: make(map[string]*stream),
		imports:  make(map[uint64]chan struct{}),
	}
	server.registry.MustRegister(loadCollector{server})
	server.routes()
	server.running.Go(server.drive)
	return server
}

// ServeHTTP serves the engine dialect, the ledger and the control of faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends all running requests and waits for the engine's own work.
func (s *Server) Close() {
	s.cancel()
	s.running.Wait()
}

// Drain makes the engine refuse new requests. Those under way go on.
func (s *Server) Drain() {
	s.change(func() { s.core.Drain(s.instant()) })
}

// Ledger returns the record of everything that reached the engine.
func (s *Server) Ledger() *ledger.Ledger {
	return s.ledger
}

func (s *Server) routes() {
	s.mux.Handle("GET /ledger", s.ledger)
	s.mux.HandleFunc("POST /control/faults", s.setFaults)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("GET /v1/requests/{id}", s.resume)
	s.mux.HandleFunc("POST /v1/requests/{id}/cancel", s.cancelRequest)
	s.mux.HandleFunc("GET /v1/holds", s.listHolds)
	s.mux.HandleFunc("DELETE /v1/holds/{program}", s.release)
	s.mux.HandleFunc("GET /v1/cache/events", s.cacheEvents)
	s.mux.HandleFunc("POST /v1/kv/export", s.export)
	s.mux.HandleFunc("POST /v1/kv/import", s.importContext)
	s.mux.HandleFunc("GET /v1/state", s.readState)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.Handle("GET /metrics", s.metrics())
}
