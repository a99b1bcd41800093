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
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/state/result"
)

// Options are the parts of a Handler.
type Options struct {
	Tables    *routetable.InForce
	Backends  Backends
	Exchanger Exchanger
	Dialect   Dialect
	Turns     Turns
	Quotas    Quotas
	// Certain tells whether the configuration in force is known to be the newest, so that
	// a missing route or an unknown key may be refused for good.
	Certain func() bool
	// TableAge is how long ago the store confirmed the configuration in force, for the
	// log; ok is false before it first did. nil where that isn't known.
	TableAge func() (age time.Duration, ok bool)
	// Proof tells how fresh the configuration in force is; nil where keys are accepted
	// whatever its age.
	Proof Proof
	// Unready tells that clients do better at another gateway, because this one is being
	// stopped or can't serve turns: each answer then closes its connection, so that the
	// client's next request goes elsewhere.
	Unready func() bool
	// MaxInFlight is how many requests may be under way.
	MaxInFlight int64
	// Gone is called with an instance whose address another one has.
	Gone func(backend.Life)
	// Retries is the retry budget of all requests; RetryPolicy sizes it.
	Retries *limit.RetryBudget
	Metrics *Metrics
	// Logger gets a line for each failed request and each retry, Answered one for each
	// request that was answered; both should limit their rate.
	Logger   *zap.Logger
	Answered *zap.Logger
	Now      func() time.Time
}

// Handler is the http.Handler of a gateway's clients. It is safe for concurrent use.
type Handler struct {
	options  Options
	inFlight atomic.Int64
}

// New makes a handler.
func New(options Options) *Handler { return &Handler{options: options} }

// InFlight is how many requests are under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP serves one request. Whether it is taken is decided in this order, each step
// cheaper for the deployment than those after it: room for another request, a
// configuration, the size of the head, what the headers say, the route, the key (before
// the body is read), the body, the tenant's quota, the turn. The first step that fails
// ends the request.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := h.options.Now()
	underWay := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	current := &call{handler: h, writer: writer, request: request, timing: timing{arrived: arrived}}
	defer current.report()
	if underWay > h.options.MaxInFlight {
		current.fail(overloaded.errorf("%d requests are under way", underWay))
		return
	}
	if failure := current.prepare(); failure != nil {
		current.fail(failure)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), current.timing.deadline)
	defer cancel()
	if failure := current.takePermit(ctx); failure != nil {
		current.fail(failure)
		return
	}
	defer current.returnUnusedPermit()
	failure := current.beginTurn(ctx, h.options.Tables.Table())
	current.timing.prepared = h.options.Now().Sub(arrived)
	if failure != nil {
		current.fail(failure)
		return
	}
	defer current.endTurn()
	current.run(ctx)
}

// prepare finds the route, checks the key and reads the whole request.
func (c *call) prepare() *result.Error {
	options := &c.handler.options
	table := options.Tables.Table()
	if table == nil {
		return noConfiguration.errorf("no configuration yet")
	}
	c.routing.configVersion = table.Version()
	if options.TableAge != nil {
		c.routing.configAge, c.routing.configAgeKnown = options.TableAge()
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerBytes(c.request) > limits.HeaderBytes {
		return result.Errorf(result.HeaderTooLarge, "the limit is %d bytes", limits.HeaderBytes)
	}
	facts, failure := options.Dialect.Read(c.request)
	if failure != nil {
		return failure
	}
	c.input.facts = facts
	c.digestKey()
	c.input.target = originForm(c.request.RequestURI)
	path, _, _ := strings.Cut(c.input.target, "?")
	route, found := table.Match(c.request.Host, path)
	if !found {
		return missingRoute.toError(c.routing.configVersion, options.Certain())
	}
	c.setRoute(route)
	c.routing.needsKey = table.NeedsKey(route)
	if failure := c.authorize(); failure != nil {
		return failure
	}
	return c.readBody(limits)
}

// setRoute notes the route and the deadline that follows from it.
func (c *call) setRoute(route *routetable.Route) {
	c.routing.route = route
	total := route.Timeout
	if c.input.facts.Remaining > 0 {
		total = min(total, c.input.facts.Remaining)
	}
	c.timing.deadline = c.timing.arrived.Add(total)
}
