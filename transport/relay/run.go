package relay

import (
	"context"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// run tries back ends until the request is answered or given up.
func (c *call) run(ctx context.Context) {
	c.handler.options.Retries.Attempted(c.routing.route.Name, c.handler.options.Now())
	for {
		choice, err := c.acquire()
		if err != nil {
			c.end(c.attemptEnd(ctx, unsent, err).giveUp())
			return
		}
		if failure := c.reauthorize(); failure != nil {
			choice.Release(backend.Unjudged{})
			c.endRevoked(ctx, failure)
			return
		}
		ended, cause := c.try(ctx, choice)
		if ended == delivered {
			return
		}
		step := c.nextStep(c.attemptEnd(ctx, ended, cause))
		if _, again := step.(tryAnother); !again {
			c.end(step)
			return
		}
		c.logRetry(choice, ended, cause)
	}
}

// acquire places the request at an instance that it hasn't tried.
func (c *call) acquire() (*backend.Choice, error) {
	return c.handler.options.Backends.Acquire(backend.Query{
		Service: c.routing.route.Pick(backend.Draw(c.input.facts.Key)), Route: c.routing.route.Name,
		Key: c.input.facts.Key, Tried: c.attempts.instances,
	})
}

// attemptEnd gathers what decides about the next step.
func (c *call) attemptEnd(ctx context.Context, ended outcome, cause error) attemptEnd {
	route := c.routing.route
	return attemptEnd{
		ended: ended, cause: cause,
		clientGone: c.request.Context().Err() != nil, isOver: c.isOver(ctx),
		began: c.response.headerWritten, mayHaveRun: c.attempts.mayHaveRun,
		sends: c.attempts.sends, unsent: c.attempts.unsent,
		attempts: route.Attempts, repeatable: route.Repeatable(), resumable: route.Resumable,
		allowed: c.timing.timeout(),
	}
}

// nextStep takes a retry from the budget where the next step needs one. Without one left
// the request is given up.
func (c *call) nextStep(attempt attemptEnd) nextStep {
	step := attempt.next()
	again, isAnother := step.(tryAnother)
	if !isAnother || !again.spends || c.handler.options.Retries.Retry(c.routing.route.Name, c.handler.options.Now()) {
		return step
	}
	return attempt.giveUp()
}

// end answers a request that is given up, or breaks its connection.
func (c *call) end(step nextStep) {
	switch step := step.(type) {
	case refuse:
		c.fail(step.failure)
	case cut:
		c.abort(step.code, step.cause)
	}
}

// endRevoked ends a request whose key isn't accepted any more. Where an earlier attempt
// may have run it, the answer mustn't promise that it hasn't.
func (c *call) endRevoked(ctx context.Context, failure *result.Error) {
	if c.attempts.mayHaveRun {
		c.end(c.attemptEnd(ctx, lost, failure).giveUp())
		return
	}
	c.fail(failure)
}

// try sends the request to one instance.
func (c *call) try(ctx context.Context, choice *backend.Choice) (outcome, error) {
	c.attempts.instances = append(c.attempts.instances, choice.Instance.ID)
	current := &attempt{choice: choice, started: c.handler.options.Now()}
	ended, cause := c.exchange(ctx, current)
	c.attempts.record(ended)
	if c.isOver(ctx) && ended != delivered {
		ended = abandoned
	}
	choice.Release(current.ending(ended, c.handler.options.Now()))
	return ended, cause
}

// isOver tells that the client is gone or that the request's time is over. A
// connection may notice the deadline a moment before the context does.
func (c *call) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !c.handler.options.Now().Before(c.timing.deadline)
}

// exchange has one exchange with the instance, and judges its answer.
func (c *call) exchange(ctx context.Context, tried *attempt) (outcome, error) {
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
		return unsent, errMisdirected
	case Improper:
		answer.CloseBody()
		return lost, errImproper
	}
	return c.deliver(ctx, answer, tried)
}

// upstreamRequest is what the instance is sent.
func (c *call) upstreamRequest(choice *backend.Choice) *upstream.Request {
	header := copyEndToEnd(c.request.Header)
	c.handler.options.Dialect.Write(header, Attempt{
		ID: c.input.facts.ID, Tenant: c.tenantName(),
		Remaining: c.timing.deadline.Sub(c.handler.options.Now()),
		Instance:  choice.Instance.ID,
		LastEvent: c.response.lastEventID,
	})
	return &upstream.Request{
		Address: choice.Instance.Address, Instance: choice.Instance.ID, Started: choice.Instance.Started,
		Method: c.request.Method, Target: c.input.target, Host: c.request.Host,
		Header: header, Body: c.input.body, ID: c.input.facts.ID, Repeatable: c.routing.route.Repeatable(),
	}
}

// logRetry logs and counts that another instance gets the request.
func (c *call) logRetry(choice *backend.Choice, ended outcome, cause error) {
	c.handler.options.Metrics.retries.Inc()
	c.handler.options.Logger.Info("trying another back end",
		zap.String("request", c.input.facts.ID), zap.String("route", c.routing.route.Name),
		zap.String("instance", choice.Instance.ID), zap.String("address", choice.Instance.Address),
		zap.Int64("outstanding", choice.Outstanding), zap.Int("sends", c.attempts.sends),
		zap.Bool("refused", ended == refused), zap.Bool("began", c.response.headerWritten), zap.Error(cause))
}
