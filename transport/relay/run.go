package relay

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// run tries instances until the response is delivered or the request is given up.
func (c *call) run(ctx context.Context) {
	c.handler.options.Retries.RecordAttempt(c.routing.route.Name, c.handler.options.Now())
	defer c.dropUnused(ctx)
	for {
		assignment, err := c.acquire(ctx)
		if err != nil {
			c.finish(c.attemptResult(ctx, unsent, err).giveUp())
			return
		}
		if failure := c.reauthorize(); failure != nil {
			assignment.Release(backend.Inconclusive{})
			c.finishRefused(ctx, failure)
			return
		}
		current := c.newAttempt(assignment)
		if failure := c.announceSend(ctx, current); failure != nil {
			assignment.Release(backend.Inconclusive{})
			c.finishRefused(ctx, failure)
			return
		}
		ended, cause := c.tryInstance(ctx, current)
		if ended == delivered {
			c.attempts.decideAfterCall()
			return
		}
		step := c.nextStep(c.attemptResult(ctx, ended, cause))
		if _, isRetry := step.(tryNextInstance); !isRetry {
			c.finish(step)
			return
		}
		c.logRetry(assignment, ended, cause)
	}
}

// acquire selects an instance that the request hasn't tried yet.
func (c *call) acquire(ctx context.Context) (*backend.Assignment, error) {
	if c.stream.isKnown {
		return c.acquireAtOrigin(ctx)
	}
	return c.acquireUnplanned(ctx)
}

// query describes the request to the pool of instances. A stream keeps to its service.
func (c *call) query() backend.Query {
	service := c.stream.origin.Service
	if !c.stream.isKnown {
		service = c.routing.route.Pick(backend.KeyFraction(c.input.info.AffinityKey))
	}
	return backend.Query{
		Service: service, Route: c.routing.route.Name, Key: c.input.info.AffinityKey, Tried: c.attempts.instances,
	}
}

// attemptResult collects the inputs of the decision about the next step.
func (c *call) attemptResult(ctx context.Context, ended outcome, cause error) attemptResult {
	route := c.routing.route
	return attemptResult{
		outcome: ended, cause: cause,
		clientGone: c.request.Context().Err() != nil, isDone: c.isDone(ctx), isStopped: isStopped(ctx),
		headerWritten: c.response.headerWritten, mayHaveRun: c.attempts.mayHaveRun,
		sends: c.attempts.sends, unsent: c.attempts.unsent, suspicion: c.attempts.suspicion,
		maxAttempts: route.Attempts, repeatable: route.Repeatable(), resumable: route.Resumable,
		timeout: c.timing.timeout(),
	}
}

// nextStep decides on the next step and takes a retry from the budget if the step needs
// one. If the budget is empty, the request is given up.
func (c *call) nextStep(last attemptResult) nextStep {
	step := last.next()
	retry, isRetry := step.(tryNextInstance)
	if !isRetry || !retry.usesRetryBudget || c.handler.options.Retries.TryRetry(c.routing.route.Name, c.handler.options.Now()) {
		return step
	}
	return last.giveUp()
}

// finish responds to a request that is given up, or closes its connection. The next try may
// come to another gateway, which has to know of this one's sends.
func (c *call) finish(step nextStep) {
	c.attempts.settling.Wait()
	c.attempts.deciding.Wait()
	switch step := step.(type) {
	case sendError:
		c.fail(step.failure)
	case abortConnection:
		c.abort(step.code, step.cause)
	}
}

// finishRefused ends a request that may not be sent any more. If an earlier attempt may have
// run it, the response must not claim that it hasn't.
func (c *call) finishRefused(ctx context.Context, failure *result.Error) {
	if c.attempts.mayHaveRun {
		c.finish(c.attemptResult(ctx, incomplete, failure).giveUp())
		return
	}
	c.fail(failure)
}

// tryInstance makes one attempt and reports its result to the backend pool.
func (c *call) tryInstance(ctx context.Context, current *attempt) (outcome, error) {
	assignment := current.assignment
	c.attempts.instances = append(c.attempts.instances, assignment.Instance.ID)
	c.attempts.versions = append(c.attempts.versions, assignment.Instance.Version)
	c.logSend(assignment)
	ended, cause := c.exchange(ctx, current)
	c.attempts.record(ended)
	how := c.sendEndOf(ctx, current, ended, cause)
	c.recordSendEnd(current, how, cause)
	c.recordRun(current, how)
	c.observeLimit(assignment, cause)
	c.settleSend(ctx, current, how)
	if c.isDone(ctx) && ended != delivered {
		ended = abandoned
	}
	assignment.Release(current.healthOutcome(ended, c.handler.options.Now()))
	return ended, cause
}

// isStopped reports whether the end of the process has canceled the context.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// isDone tells whether the client is gone or the deadline has passed. It compares the time
// as well, since a connection may hit the deadline just before the context expires.
func (c *call) isDone(ctx context.Context) bool {
	return ctx.Err() != nil || !c.handler.options.Now().Before(c.timing.deadline)
}

// exchange sends the request to the instance and handles the response by its class.
func (c *call) exchange(ctx context.Context, current *attempt) (outcome, error) {
	current.request = c.upstreamRequest(current)
	if c.stream.isKnown && current.assignment.IsReplaced() {
		current.isWithheld = true
		return unsent, upstream.ErrUnlisted
	}
	backendResponse, err := c.handler.options.Upstream.Do(ctx, current.request)
	if err != nil {
		current.isWithheld = errors.Is(err, upstream.ErrUnlisted)
		return outcomeOfError(err), err
	}
	switch c.handler.options.HeaderCodec.Classify(backendResponse) {
	case RefusedResponse:
		drain(backendResponse)
		return refused, errRefused
	case MisdirectedResponse:
		drain(backendResponse)
		c.handler.options.OnInstanceGone(current.assignment.Instance.Incarnation())
		return unsent, errMisdirected
	case InvalidResponse:
		backendResponse.CloseBody()
		return incomplete, errInvalidResponse
	}
	return c.deliver(ctx, backendResponse, current)
}

// upstreamRequest builds the request to the instance.
func (c *call) upstreamRequest(current *attempt) *upstream.Request {
	assignment := current.assignment
	header := copyEndToEnd(c.request.Header)
	c.handler.options.HeaderCodec.WriteAttempt(header, AttemptInfo{
		ID: c.input.info.ID, Tenant: c.tenantName(),
		Remaining:   c.timing.deadline.Sub(c.handler.options.Now()),
		Instance:    assignment.Instance.ID,
		LastEventID: c.response.order.lastID,
	})
	return &upstream.Request{
		Address: assignment.Instance.Address, Instance: assignment.Instance.ID, Started: assignment.Instance.Started,
		Method: c.request.Method, Target: c.input.target, Host: c.request.Host,
		Header: header, Body: c.input.body, ID: c.input.info.ID, Repeatable: c.routing.route.Repeatable(),
		KeepsSpare: current.isAnnounced, ChecksProcess: c.stream.isKnown, NeedsListed: c.isOriginFixed(),
	}
}

// logRetry logs and counts a retry at another instance.
func (c *call) logRetry(assignment *backend.Assignment, ended outcome, cause error) {
	c.handler.options.Metrics.retries.Inc()
	c.handler.options.Logger.Info("trying another back end",
		zap.String("request", c.input.info.ID), zap.String("route", c.routing.route.Name),
		zap.String("instance", assignment.Instance.ID), zap.String("address", assignment.Instance.Address),
		zap.String("version", assignment.Instance.Version),
		zap.Int64("outstanding", assignment.Outstanding), zap.Int("sends", c.attempts.sends),
		zap.Bool("refused", ended == refused), zap.Bool("began", c.response.headerWritten), zap.Error(cause))
}
