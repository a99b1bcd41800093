// Package callerapi serves the callers' HTTP API: programs as a resource, and
// their calls in the OpenAI chat-completions dialect, whole or as a stream of
// server-sent events (WHATWG HTML, "Server-sent events").
//
// It owns the wire types of that API, the checks of its requests, the count of
// requests in flight, and their log line and metrics. What a request does is up
// to an [execution.Service], and whose key a caller has to [Tenants].
//
// A request that fails its checks never reaches the service. A call that has
// reached it runs to its end, even where the caller's connection is lost: the
// stored answer waits for a repeat with the same idempotency key.
package callerapi

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/result"
)

// Defaults of the options.
const (
	// DefaultBodyLimit is in bytes.
	DefaultBodyLimit    = 8 << 20
	DefaultBodyTimeout  = 30 * time.Second
	DefaultWriteTimeout = 30 * time.Second
	// DefaultInFlightLimit is in requests.
	DefaultInFlightLimit = 16384
	DefaultRetryAfter    = time.Second
)

// Tenants tells which tenant has an API key.
type Tenants interface {
	// TenantOf returns the name of the tenant that has the key; found is false
	// where no tenant has it. It is called for every request and must not block.
	TenantOf(apiKey string) (tenant string, found bool)
}

// Options are the parts and settings of a [Handler]. Service and Tenants are
// required; a zero value elsewhere takes the default.
type Options struct {
	Service execution.Service
	Tenants Tenants
	// Logger gets one line a request; nil logs nothing.
	Logger *zap.Logger
	// Observer feeds the metrics; nil is none.
	Observer Observer
	// Now is the clock of deadlines and durations; nil is time.Now.
	Now func() time.Time
	// Random is the source of the idempotency keys of calls that come without
	// one; nil is the system's. It must be safe for concurrent use.
	Random io.Reader
	// BodyLimit is the greatest size of a request body in bytes.
	BodyLimit int64
	// BodyTimeout is how long a caller may take to send a body.
	BodyTimeout time.Duration
	// WriteTimeout is how long one write may wait for a caller that doesn't
	// read. After that the connection counts as lost.
	WriteTimeout time.Duration
	// InFlightLimit is how many requests are served at one time. More are
	// refused with [result.Overloaded].
	InFlightLimit int
	// RetryAfter is the pause that a caller is asked for where an error allows
	// another try and names no pause.
	RetryAfter time.Duration
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Observer == nil {
		o.Observer = ignoreObservations{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.BodyLimit == 0 {
		o.BodyLimit = DefaultBodyLimit
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.InFlightLimit == 0 {
		o.InFlightLimit = DefaultInFlightLimit
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = DefaultRetryAfter
	}
}

// Handler serves the caller API. It is safe for concurrent use.
type Handler struct {
	options  Options
	routes   *http.ServeMux
	inFlight *inFlight
}

var _ http.Handler = (*Handler)(nil)

// New makes a handler.
func New(options Options) *Handler {
	options.setDefaults()
	h := &Handler{
		options:  options,
		routes:   http.NewServeMux(),
		inFlight: newInFlight(options.InFlightLimit),
	}
	h.handle("POST /v1/programs", "create_program", h.createProgram)
	h.handle("GET /v1/programs/{id}", "read_program", h.readProgram)
	h.handle("DELETE /v1/programs/{id}", "end_program", h.endProgram)
	h.handle("POST /v1/programs/{id}/children", "create_child", h.createChild)
	h.handle("POST /v1/programs/{id}/chat/completions", "call", h.call)
	h.handle("/", unknownPath, h.unknownPath)
	return h
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.routes.ServeHTTP(writer, request)
}

// Drain refuses every new request with [result.Draining]. Those in flight go on.
func (h *Handler) Drain() { h.inFlight.drain() }

// Wait returns once a drained handler has no request in flight. Its error is the
// context's, where that ends first.
func (h *Handler) Wait(ctx context.Context) error { return h.inFlight.wait(ctx) }

// Cut ends the requests in flight and returns their number. A request whose body hasn't
// come is refused with [result.Draining]. A call is canceled with the cause
// [execution.ErrStopping], and its caller is told that the outcome is unresolved. Answers
// have until the deadline to be written.
func (h *Handler) Cut(deadline time.Time) int { return h.inFlight.cut(deadline) }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return h.inFlight.current() }

// operation serves one kind of request. Its error is sent to the caller, unless a
// whole answer has been written.
type operation func(*exchange) error

func (h *Handler) handle(pattern, name string, serve operation) {
	h.routes.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
		h.serve(name, serve, writer, request)
	})
}

func (h *Handler) serve(name string, serve operation, writer http.ResponseWriter, request *http.Request) {
	exchange := h.newExchange(name, writer, request)
	defer exchange.cancel(nil)
	err := h.inFlight.enter(exchange)
	if err != nil {
		exchange.writer.Header().Set("Connection", "close")
		err = unrecorded(err, exchange.request.Header)
	} else {
		defer h.inFlight.leave(exchange)
		err = h.perform(exchange, serve)
	}
	if err != nil {
		exchange.fail(err)
	}
	exchange.finish()
}

func (h *Handler) perform(exchange *exchange, serve operation) error {
	if exchange.operation != unknownPath {
		if err := exchange.authenticate(h.options.Tenants); err != nil {
			return err
		}
	}
	return exchange.protect(serve)
}

// unknownPath is the one operation that needs no API key.
const unknownPath = "unknown_path"

func (h *Handler) unknownPath(exchange *exchange) error {
	return result.Errorf(result.UnknownPath, "no %s %s here", exchange.request.Method, exchange.request.URL.Path)
}
