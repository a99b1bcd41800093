package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// endProbeTimeout bounds the check whether an instance has ended under a request. The host
// of a crashed process refuses connections at once.
const endProbeTimeout = 400 * time.Millisecond

// maxEndChecks is how often that is checked. The first check may time out because this
// process stood still.
const maxEndChecks = 2

// fingerprint identifies the request over the tries of its client, at any gateway. It
// covers what is the same in all of them: whose request it is, and what it asks for. A
// stream that is resumed is the same request.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.input.fingerprint == (quarantine.Fingerprint{}) {
		info := &c.input.info
		c.input.fingerprint = quarantine.FingerprintOf(
			[]byte(c.tenantName()), []byte(c.request.Method), []byte(c.request.Host), []byte(c.input.target),
			[]byte(info.Program), []byte(info.Session), []byte(info.AffinityKey), []byte(info.PreviousTurn),
			[]byte(info.Prompt), c.input.received,
		)
	}
	return c.input.fingerprint
}

// checkCrashes refuses a request under which too many instances have crashed.
func (c *call) checkCrashes(ctx context.Context) *result.Error {
	crashes := c.handler.options.Crashes
	if !crashes.NeedsCheck() {
		return nil
	}
	c.attempts.crashes = crashes.Crashes(ctx, c.fingerprint())
	if !quarantine.IsQuarantined(c.attempts.crashes) {
		return nil
	}
	c.handler.options.Logger.Info("request not sent to back ends", c.crashFields()...)
	return result.Errorf(result.RequestQuarantined, "%d back ends have ended under the request", c.attempts.crashes)
}

// observeCrash reports the end of an instance under the request to the other gateways, and
// the completion of a request under which some have ended.
func (c *call) observeCrash(ctx context.Context, current *attempt, ended outcome, cause error) {
	crashes := c.handler.options.Crashes
	switch {
	case ended == delivered && crashes.NeedsCheck():
		crashes.Completed(ctx, c.fingerprint())
	case c.crashedUnder(ctx, current.assignment, ended, cause):
		now := c.handler.options.Now()
		instance := current.assignment.Instance
		c.attempts.crashes = crashes.Report(ctx, quarantine.Crash{
			Fingerprint: c.fingerprint(), Instance: instance.Address + " " + instance.Incarnation().String(),
			SentAgo: now.Sub(current.started), Known: c.attempts.crashes,
		})
		c.logCrash(current)
	}
}

// crashedUnder reports whether the instance has ended while it worked on the request. A
// lost response alone doesn't show that.
func (c *call) crashedUnder(ctx context.Context, assignment *backend.Assignment, ended outcome, cause error) bool {
	if ended != incomplete || c.isDone(ctx) || errors.Is(cause, errInvalidResponse) || errors.Is(cause, errNotResumed) || errors.Is(cause, upstream.ErrUnreachable) {
		return false
	}
	for range maxEndChecks {
		ended, isKnown := c.hasEnded(ctx, assignment)
		if isKnown {
			return ended
		}
	}
	return false
}

// hasEnded checks whether the instance has ended. The result isn't known if the check timed out.
func (c *call) hasEnded(ctx context.Context, assignment *backend.Assignment) (ended, isKnown bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endProbeTimeout)
	defer cancel()
	ended = c.handler.options.Upstream.HasEnded(ctx, c.upstreamRequest(assignment))
	return ended, ended || ctx.Err() == nil
}

// logSend logs that the request is sent to an instance.
func (c *call) logSend(assignment *backend.Assignment) {
	fields := append([]zap.Field{
		zap.String("request", c.input.info.ID), zap.String("route", c.routing.route.Name),
		zap.Int64("outstanding", assignment.Outstanding), zap.Int("sends", c.attempts.sends),
	}, lifeFields(&assignment.Instance)...)
	c.handler.options.Logger.Debug("sending to back end", fields...)
}

// logCrash logs and counts that an instance has ended under the request.
func (c *call) logCrash(current *attempt) {
	c.handler.options.Metrics.crashes.Inc()
	instance := &current.assignment.Instance
	fields := append(c.crashFields(), lifeFields(instance)...)
	c.handler.options.Logger.Info("back end ended under request", append(fields,
		zap.String("version", instance.Version), zap.Bool("leaving", instance.Leaving),
		zap.Duration("ran", c.handler.options.Now().Sub(current.started)), zap.Int("sends", c.attempts.sends))...)
}

// crashFields returns log fields that identify the request over the tries of its client.
func (c *call) crashFields() []zap.Field {
	return []zap.Field{
		zap.String("request", c.input.info.ID), zap.Stringer("fingerprint", c.fingerprint()), zap.Int("crashes", c.attempts.crashes),
		zap.String("program", c.input.info.Program), zap.String("route", c.routing.route.Name),
	}
}
