package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/numbering"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// Options configures a Handler.
type Options struct {
	Tables      *routetable.ActiveTable
	Backends    Backends
	Upstream    Upstream
	HeaderCodec HeaderCodec
	Turns       Turns
	Origins     Origins
	Quotas      Quotas
	Crashes     Crashes
	// InstancesAge returns the time since the store confirmed the known instances; ok is
	// false if it hasn't yet.
	InstancesAge func() (age time.Duration, ok bool)
	// IsConfigurationNewest reports whether the configuration in force is known to be the
	// newest. Only then are the errors for a missing route and an unknown key permanent.
	IsConfigurationNewest func() bool
	// ConfigurationAge returns the time since the store confirmed the configuration in force,
	// for the log; ok is false if it hasn't yet. It may be nil.
	ConfigurationAge func() (age time.Duration, ok bool)
	// Freshness tells how recently the configuration in force was confirmed; nil if keys are
	// accepted at any age.
	Freshness ConfigurationFreshness
	// IsUnready reports whether this gateway is stopping or can't serve turns. Each response
	// then closes its connection, so that the client's next request goes to another gateway.
	IsUnready func() bool
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int64
	// OnInstanceGone is called for an instance whose address now belongs to another one.
	OnInstanceGone func(backend.Incarnation)
	// Retries is the retry budget of all requests. See RetryPolicy.
	Retries *limit.RetryBudget
	Metrics *Metrics
	// Logger logs each failed request and each retry, AccessLogger each request with a
	// complete response. Both should be rate limited.
	Logger       *zap.Logger
	AccessLogger *zap.Logger
	// StopLogger logs each request that ends with the process, at most MaxInFlight.
	StopLogger *zap.Logger
	Now        func() time.Time
}

// isNewest reports whether the table is known to be the newest. It may have been replaced
// since it was read, and the freshness be that of the new one.
func (o *Options) isNewest(table *routetable.Table) bool {
	return o.IsConfigurationNewest() && o.Tables.Table() == table
}

// Handler serves the clients of a gateway. It is safe for concurrent use.
type Handler struct {
	options  Options
	inFlight registry
	watcher  *SendWatcher
	// numbering is how the events of streams are numbered.
	numbering numbering.Learner
	// isRefusing is set once new requests are refused.
	isRefusing atomic.Bool
}

// New returns a handler.
func New(options Options) *Handler { return &Handler{options: options, watcher: newSendWatcher()} }

// SendWatcher returns the watcher of the handler's sends. It must run, so that instances count
// that end after the exchange.
func (h *Handler) SendWatcher() *SendWatcher { return h.watcher }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.count() }

// RefuseRequests refuses all requests that arrive from now on, or whose body does: the process may
// end before their responses are complete.
func (h *Handler) RefuseRequests() { h.isRefusing.Store(true) }

// AbortInFlight ends all requests in flight. Those whose response hasn't begun get an error
// as their response, the connections of the others are closed. Clients that don't read are
// given up after writeTimeout.
func (h *Handler) AbortInFlight(writeTimeout time.Duration) {
	for _, c := range h.inFlight.all() {
		c.stop(writeTimeout)
	}
}

// LogInFlight logs each request in flight as one that ends with the process, and returns
// their number.
func (h *Handler) LogInFlight() int {
	calls := h.inFlight.all()
	for _, c := range calls {
		// The request is read anew, since its own goroutine may be using the call.
		info, _ := h.options.HeaderCodec.ReadRequest(c.request)
		h.options.StopLogger.Warn("request cut by the end of the process",
			zap.String("request", info.ID), zap.Duration("age", h.options.Now().Sub(c.timing.arrived)))
	}
	return len(calls)
}

// ServeHTTP serves one request. It checks, from the cheapest check to the most expensive
// one, whether the gateway is stopping, the number of requests in flight, the configuration,
// the size and the content of the headers, the route, the API key (before the body is read),
// the body, the crashes under the request, the tenant's quota, the origin of a resumed stream
// and the turn. The first check that fails ends the request.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	current := &call{handler: h, writer: writer, request: request, ctx: ctx, cancel: cancel, timing: timing{arrived: h.options.Now()}}
	inFlight := h.inFlight.add(current)
	defer h.inFlight.remove(current)
	defer current.report()
	if failure := h.admit(inFlight); failure != nil {
		current.fail(failure)
		return
	}
	current.serve(ctx)
}

// admit refuses a request that this gateway can't serve, whatever it is.
func (h *Handler) admit(inFlight int64) *result.Error {
	if h.isRefusing.Load() {
		return stopping.errorf("%v", errStopped)
	}
	if inFlight > h.options.MaxInFlight {
		return overloaded.errorf("%d requests are under way", inFlight)
	}
	return nil
}

// serve serves an admitted request.
func (c *call) serve(ctx context.Context) {
	if failure := c.prepare(ctx); failure != nil {
		c.failUnsent(ctx, failure)
		return
	}
	// The body may have come long after the header.
	if c.handler.isRefusing.Load() {
		c.fail(stopping.errorf("%v", errStopped))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.timing.deadline)
	defer cancel()
	if failure := c.checkCrashes(ctx); failure != nil {
		c.failUnsent(ctx, failure)
		return
	}
	if failure := c.takePermit(ctx); failure != nil {
		c.failUnsent(ctx, failure)
		return
	}
	defer c.returnUnusedPermit()
	failure := c.locateStream(ctx)
	if failure == nil {
		failure = c.beginTurn(ctx, c.handler.options.Tables.Table())
	}
	c.timing.prepared = c.handler.options.Now().Sub(c.timing.arrived)
	if failure != nil {
		c.failUnsent(ctx, failure)
		return
	}
	defer c.endTurn()
	c.run(ctx)
}

// failUnsent responds to a request that wasn't sent to a backend.
func (c *call) failUnsent(ctx context.Context, failure *result.Error) {
	if isStopped(ctx) {
		failure = stopping.errorf("%v", errStopped)
	}
	c.fail(failure)
}

// prepare matches the route, checks the key and reads the request.
func (c *call) prepare(ctx context.Context) *result.Error {
	options := &c.handler.options
	table := options.Tables.Table()
	if table == nil {
		return noConfiguration.errorf("no configuration yet")
	}
	c.routing.configVersion = table.Version()
	if options.ConfigurationAge != nil {
		c.routing.configAge, c.routing.configAgeKnown = options.ConfigurationAge()
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(c.request) > limits.HeaderBytes {
		return result.Errorf(result.HeaderTooLarge, "the limit is %d bytes", limits.HeaderBytes)
	}
	info, failure := options.HeaderCodec.ReadRequest(c.request)
	if failure != nil {
		return failure
	}
	c.input.info = info
	c.digestKey()
	c.input.target = originForm(c.request.RequestURI)
	path, _, _ := strings.Cut(c.input.target, "?")
	route, found := table.Match(c.request.Host, path)
	if !found {
		return missingRoute.toError(c.routing.configVersion, options.isNewest(table))
	}
	c.setRoute(route)
	c.routing.needsKey = table.NeedsKey(route)
	if failure := c.authorize(); failure != nil {
		return failure
	}
	return c.readBody(ctx, limits)
}

// setRoute sets the route and the deadline.
func (c *call) setRoute(route *routetable.Route) {
	c.routing.route = route
	total := route.Timeout
	if c.input.info.Remaining > 0 {
		total = min(total, c.input.info.Remaining)
	}
	c.timing.deadline = c.timing.arrived.Add(total)
}
