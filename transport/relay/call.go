package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/tenant"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

const (
	// retryPause is what a refused client is asked to wait, give or take half.
	retryPause = 150 * time.Millisecond
	// startPause is what it is asked to wait for a node that is starting, or that waits
	// for the store: its few tries then outlast a second of that.
	startPause = 400 * time.Millisecond
	// maxDetours bounds the instances that were tried without being sent the
	// request: unreachable ones and those whose address another has.
	maxDetours = 4
)

// call is one request under way.
type call struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	arrived  time.Time
	deadline time.Time
	// version is that of the table that the request is served by, tableAge how long ago
	// the store confirmed it as the request came.
	version       int64
	tableAge      time.Duration
	tableAgeKnown bool
	facts         Facts
	route         *routetable.Route
	// needsKey tells that the route asks for a key, tenant whose it is.
	needsKey bool
	tenant   *tenant.Tenant
	// apiKey is the digest of the key that the caller showed.
	apiKey tenant.Digest
	// target is the path and query, byte for byte as they came.
	target string
	// body is what back ends get: the request's own, or that of its turn.
	body []byte
	// bodyTaken tells that the request's own was read, or that this was tried.
	bodyTaken bool
	// turn is set for turns of programs whose state is kept.
	turn *conversation.Turn

	// tried are the instances that were chosen so far, sends of which were sent
	// the request, detours of which were not.
	tried   []string
	sends   int
	detours int
	// permit is that of the tenant's quota; permitted is how long it was waited for.
	permit    quota.Permit
	permitted time.Duration
	// reached tells that a back end was sent the request and didn't promise that it
	// hadn't run it.
	reached bool
	// mayHaveRun tells that a back end may have run the request.
	mayHaveRun bool
	// began tells that the head of the answer was written, lastEvent the id of
	// the last event that was passed on.
	began     bool
	lastEvent string
	status    int
	code      result.Code
	reason    string
	firstByte time.Duration
	// prepared is when the request could be sent to a back end, counted from its
	// arrival: its body read and, for a turn, what came before it and its part of
	// the budget there. stored is how long the end of a turn took to be kept.
	prepared, stored time.Duration
}

// outcome is how one attempt ended.
type outcome int

const (
	// delivered: the answer was passed on whole.
	delivered outcome = iota
	// unreached: the request wasn't sent.
	unreached
	// refused: a back end promised that it didn't run the request.
	refused
	// lost: the request was sent and there is no whole answer.
	lost
	// unstored: the answer came whole, but its turn can't be kept.
	unstored
	// abandoned: the client is gone, or its time is over.
	abandoned
)

// run tries back ends until the request is answered or given up.
func (c *call) run(ctx context.Context) {
	c.handler.options.Retries.Attempted(c.route.Name, c.handler.options.Now())
	for {
		choice, err := c.handler.options.Backends.Acquire(backend.Query{
			Service: c.route.Pick(backend.Draw(c.facts.Key)), Route: c.route.Name, Key: c.facts.Key, Tried: c.tried,
		})
		if err != nil {
			c.giveUp(ctx, unreached, err)
			return
		}
		if failure := c.reauthorize(); failure != nil {
			choice.Release(backend.Unjudged{})
			c.refuse(ctx, failure)
			return
		}
		ended, cause := c.try(ctx, choice)
		if ended == delivered {
			return
		}
		if !c.mayTryAgain(ctx, ended) {
			c.giveUp(ctx, ended, cause)
			return
		}
		c.logRetry(choice, ended, cause)
	}
}

// try sends the request to one instance.
func (c *call) try(ctx context.Context, choice *backend.Choice) (outcome, error) {
	c.tried = append(c.tried, choice.Instance.ID)
	tried := &trial{choice: choice, began: c.handler.options.Now()}
	ended, cause := c.exchange(ctx, tried)
	c.count(ended)
	if c.isOver(ctx) && ended != delivered {
		ended = abandoned
	}
	choice.Release(tried.ending(ended, c.handler.options.Now()))
	return ended, cause
}

// count notes what the end of an attempt says about the request.
func (c *call) count(ended outcome) {
	switch ended {
	case unreached:
		c.detours++
	case refused:
		c.sends++
	case delivered, abandoned:
		c.sends++
		c.reached = true
	case lost, unstored:
		c.sends++
		c.reached, c.mayHaveRun = true, true
	}
}

// isOver tells that the client is gone or that the request's time is over. A
// connection may notice the deadline a moment before the context does.
func (c *call) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !c.handler.options.Now().Before(c.deadline)
}

func (c *call) exchange(ctx context.Context, tried *trial) (outcome, error) {
	answer, err := c.handler.options.Exchanger.Do(ctx, c.upstreamRequest(tried.choice))
	if err != nil {
		return outcomeOf(err), err
	}
	switch c.handler.options.Dialect.Judge(answer) {
	case Refused:
		drain(answer)
		return refused, errRefused
	case Misdirected:
		drain(answer)
		c.handler.options.Gone(tried.choice.Instance.Life())
		return unreached, errMisdirected
	case Improper:
		answer.CloseBody()
		return lost, errImproper
	}
	return c.deliver(ctx, answer, tried)
}

var (
	errRefused     = errors.New("the back end refused the request")
	errMisdirected = errors.New("another instance has the address")
	errImproper    = errors.New("the answer isn't one of a back end")
)

func outcomeOf(err error) outcome {
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		return unreached
	}
	return lost
}

func (c *call) upstreamRequest(choice *backend.Choice) *upstream.Request {
	header := endToEnd(c.request.Header)
	c.handler.options.Dialect.Write(header, Attempt{
		ID: c.facts.ID, Tenant: c.tenantName(),
		Remaining: c.deadline.Sub(c.handler.options.Now()),
		Instance:  choice.Instance.ID,
		LastEvent: c.lastEvent,
	})
	return &upstream.Request{
		Address: choice.Instance.Address, Instance: choice.Instance.ID, Started: choice.Instance.Started,
		Method: c.request.Method, Target: c.target, Host: c.request.Host,
		Header: header, Body: c.body, ID: c.facts.ID, Repeatable: c.route.Repeatable(),
	}
}

// mayTryAgain says whether another instance may be sent the request.
func (c *call) mayTryAgain(ctx context.Context, ended outcome) bool {
	if ended == abandoned || ended == unstored || c.isOver(ctx) {
		return false
	}
	if ended == unreached {
		return c.detours <= maxDetours
	}
	if ended == lost && !c.route.Repeatable() {
		return false
	}
	if c.began && !c.route.Resumable {
		return false
	}
	return c.sends < c.route.Attempts && c.handler.options.Retries.Retry(c.route.Name, c.handler.options.Now())
}

// giveUp answers a request that has no answer.
func (c *call) giveUp(ctx context.Context, ended outcome, cause error) {
	switch {
	case c.request.Context().Err() != nil:
		c.abort(result.ClientGone, context.Canceled)
	case c.began:
		c.abort(result.BackendFailed, cause)
	case c.mayHaveRun && c.isOver(ctx):
		c.fail(result.Errorf(result.BackendTimeout, "no answer within %s", c.deadline.Sub(c.arrived)))
	case c.mayHaveRun:
		c.fail(result.Errorf(result.BackendFailed, "%v", cause))
	case ended == refused:
		c.fail(result.Errorf(result.BackendBusy, "%v", cause).After(retryPause))
	default:
		// Also where the time of the request is over: a caller that knows that it
		// hasn't run may ask again for what must not run twice.
		c.fail(result.Errorf(result.NoBackend, "%v", cause).After(retryPause))
	}
}

// refuse ends a request that may not be sent any more. Where it may have run already,
// the answer mustn't promise that it hasn't.
func (c *call) refuse(ctx context.Context, failure *result.Error) {
	if c.mayHaveRun {
		c.giveUp(ctx, lost, failure)
		return
	}
	c.fail(failure)
}

func (c *call) logRetry(choice *backend.Choice, ended outcome, cause error) {
	c.handler.options.Metrics.retries.Inc()
	c.handler.options.Logger.Info("trying another back end",
		zap.String("request", c.facts.ID), zap.String("route", c.route.Name),
		zap.String("instance", choice.Instance.ID), zap.String("address", choice.Instance.Address),
		zap.Int64("outstanding", choice.Outstanding), zap.Int("sends", c.sends),
		zap.Bool("refused", ended == refused), zap.Bool("began", c.began), zap.Error(cause))
}

// RetryPolicy bounds the repeats of a gateway to a fifth of its requests, and
// lets one that has just started repeat some.
func RetryPolicy() limit.RetryPolicy {
	return limit.RetryPolicy{Ratio: 0.2, MinPerSecond: 4, Burst: 40, Saved: 20}
}
