package relay

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

const (
	// maxDetours bounds the instances that were tried without being sent the
	// request: unreachable ones and those whose address another has.
	maxDetours = 4
)

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
	c.handler.options.Retries.Attempted(c.basis.route.Name, c.handler.options.Now())
	for {
		choice, err := c.handler.options.Backends.Acquire(backend.Query{
			Service: c.basis.route.Pick(backend.Draw(c.asked.facts.Key)), Route: c.basis.route.Name, Key: c.asked.facts.Key, Tried: c.tried.instances,
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
	c.tried.instances = append(c.tried.instances, choice.Instance.ID)
	attempt := &trial{choice: choice, began: c.handler.options.Now()}
	ended, cause := c.exchange(ctx, attempt)
	c.tried.count(ended)
	if c.isOver(ctx) && ended != delivered {
		ended = abandoned
	}
	choice.Release(attempt.ending(ended, c.handler.options.Now()))
	return ended, cause
}

// isOver tells that the client is gone or that the request's time is over. A
// connection may notice the deadline a moment before the context does.
func (c *call) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !c.handler.options.Now().Before(c.times.deadline)
}

func (c *call) exchange(ctx context.Context, attempt *trial) (outcome, error) {
	answer, err := c.handler.options.Exchanger.Do(ctx, c.upstreamRequest(attempt.choice))
	if err != nil {
		return outcomeOf(err), err
	}
	switch c.handler.options.Dialect.Judge(answer) {
	case Refused:
		drain(answer)
		return refused, errRefused
	case Misdirected:
		drain(answer)
		c.handler.options.Gone(attempt.choice.Instance.Life())
		return unreached, errMisdirected
	case Improper:
		answer.CloseBody()
		return lost, errImproper
	}
	return c.deliver(ctx, answer, attempt)
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
		ID: c.asked.facts.ID, Tenant: c.tenantName(),
		Remaining: c.times.deadline.Sub(c.handler.options.Now()),
		Instance:  choice.Instance.ID,
		LastEvent: c.reply.lastEvent,
	})
	return &upstream.Request{
		Address: choice.Instance.Address, Instance: choice.Instance.ID, Started: choice.Instance.Started,
		Method: c.request.Method, Target: c.asked.target, Host: c.request.Host,
		Header: header, Body: c.asked.body, ID: c.asked.facts.ID, Repeatable: c.basis.route.Repeatable(),
	}
}

// mayTryAgain says whether another instance may be sent the request.
func (c *call) mayTryAgain(ctx context.Context, ended outcome) bool {
	if ended == abandoned || ended == unstored || c.isOver(ctx) {
		return false
	}
	if ended == unreached {
		return c.tried.detours <= maxDetours
	}
	if ended == lost && !c.basis.route.Repeatable() {
		return false
	}
	if c.reply.began && !c.basis.route.Resumable {
		return false
	}
	return c.tried.sends < c.basis.route.Attempts && c.handler.options.Retries.Retry(c.basis.route.Name, c.handler.options.Now())
}

// giveUp answers a request that has no answer.
func (c *call) giveUp(ctx context.Context, ended outcome, cause error) {
	switch {
	case c.request.Context().Err() != nil:
		c.abort(result.ClientGone, context.Canceled)
	case c.reply.began:
		c.abort(result.BackendFailed, cause)
	case c.tried.mayHaveRun && c.isOver(ctx):
		c.fail(result.Errorf(result.BackendTimeout, "no answer within %s", c.times.allowed()))
	case c.tried.mayHaveRun:
		c.fail(result.Errorf(result.BackendFailed, "%v", cause))
	case ended == refused:
		c.fail(busyBackEnd.refusal("%v", cause))
	default:
		// Also where the time of the request is over: a caller that knows that it
		// hasn't run may ask again for what must not run twice.
		c.fail(noBackEnd.refusal("%v", cause))
	}
}

// refuse ends a request that may not be sent any more. Where it may have run already,
// the answer mustn't promise that it hasn't.
func (c *call) refuse(ctx context.Context, failure *result.Error) {
	if c.tried.mayHaveRun {
		c.giveUp(ctx, lost, failure)
		return
	}
	c.fail(failure)
}

func (c *call) logRetry(choice *backend.Choice, ended outcome, cause error) {
	c.handler.options.Metrics.retries.Inc()
	c.handler.options.Logger.Info("trying another back end",
		zap.String("request", c.asked.facts.ID), zap.String("route", c.basis.route.Name),
		zap.String("instance", choice.Instance.ID), zap.String("address", choice.Instance.Address),
		zap.Int64("outstanding", choice.Outstanding), zap.Int("sends", c.tried.sends),
		zap.Bool("refused", ended == refused), zap.Bool("began", c.reply.began), zap.Error(cause))
}

// RetryPolicy bounds the repeats of a gateway to a fifth of its requests, and
// lets one that has just started repeat some.
func RetryPolicy() limit.RetryPolicy {
	return limit.RetryPolicy{Ratio: 0.2, MinPerSecond: 4, Burst: 40, Saved: 20}
}
