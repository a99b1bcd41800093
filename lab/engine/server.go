package engine

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/lab/ledger"
)

const (
	// recentRequests is how many ended requests can still be resumed, and are
	// known as duplicates.
	recentRequests = 4096
	// DefaultLoadDuration is how long a load takes at an engine without a
	// weight store, in the engine's time.
	DefaultLoadDuration = 2 * time.Second
	// defaultVersion is the version of what is loaded without naming one.
	defaultVersion = "default"
)

// Options describe one engine.
type Options struct {
	Name string
	// Generation names one of Generations; empty is DefaultGeneration. New
	// panics on an unknown one.
	Generation string
	Zone       string
	// Models and Adapters are loaded from the start, each "name" or
	// "name@version".
	Models   []string
	Adapters []string
	// Seed decides the text of the answers; engines of one fleet share it.
	Seed uint64
	// TimeScale is how many seconds of the engine pass in one real second;
	// zero is 1.
	TimeScale float64
	// Clock gives the wall time of ledger entries and answers; nil is time.Now.
	Clock func() time.Time
	// MemoryTokens is the room for KV cache; zero is the generation's.
	MemoryTokens int
	// MaxWaiting, LoadLag, CacheEventDelay and CacheEventLoss are as in
	// CoreOptions, in the engine's time.
	MaxWaiting      int
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// WeightStore is the base URL of the weight store; where it is empty, a
	// load takes DefaultLoadDuration.
	WeightStore string
	// HTTPClient fetches weights; nil is http.DefaultClient.
	HTTPClient *http.Client
	// LedgerLimit is how many ledger entries are kept; zero is the ledger's
	// default.
	LedgerLimit int
}

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

// New returns a running engine. Close ends it.
func New(options Options) *Server {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	if options.HTTPClient == nil {
		options.HTTPClient = http.DefaultClient
	}
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

func newServerCore(options Options) *Core {
	generation, ok := FindGeneration(options.Generation)
	if !ok {
		panic("engine: unknown generation " + options.Generation)
	}
	if options.MemoryTokens > 0 {
		generation.MemoryTokens = options.MemoryTokens
	}
	coreOptions := CoreOptions{
		Generation:      generation,
		Models:          loadedOf(options.Models),
		Adapters:        loadedOf(options.Adapters),
		MaxWaiting:      options.MaxWaiting,
		LoadLag:         options.LoadLag,
		CacheEventDelay: options.CacheEventDelay,
		CacheEventLoss:  options.CacheEventLoss,
		Seed:            options.Seed,
	}
	if options.WeightStore == "" {
		coreOptions.LoadDuration = func(time.Duration, Loaded) time.Duration { return DefaultLoadDuration }
	}
	return NewCore(coreOptions)
}

// loadedOf reads a list of "name" and "name@version".
func loadedOf(names []string) []Loaded {
	list := make([]Loaded, 0, len(names))
	for _, name := range names {
		name, version, found := strings.Cut(name, "@")
		if !found {
			version = defaultVersion
		}
		list = append(list, Loaded{Name: name, Version: version})
	}
	return list
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
