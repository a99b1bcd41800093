package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

const (
	// endProbeTimeout bounds the check whether an instance has ended under a request. The host
	// of a crashed process refuses connections at once.
	endProbeTimeout = 400 * time.Millisecond
	// maxEndChecks is how often that is checked. The first check may time out because this
	// process stood still.
	maxEndChecks = 2
	// silentLifetime is how long a send counts whose instance is silent, unclearLifetime one
	// whose instance may have started again.
	silentLifetime  = 30 * time.Second
	unclearLifetime = 10 * time.Second
)

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

// checkCrashes refuses a request under which too many instances have crashed, or may have.
func (c *call) checkCrashes(ctx context.Context) *result.Error {
	crashes := c.handler.options.Crashes
	if !crashes.NeedsCheck() {
		return nil
	}
	c.attempts.suspicion = crashes.Suspicion(ctx, c.fingerprint())
	return c.refuseSuspected()
}

// announceSend notes the send of a request of which earlier ones are suspected, so that it
// counts at other gateways while its outcome isn't known. It refuses the request as
// checkCrashes does.
func (c *call) announceSend(ctx context.Context, current *attempt) *result.Error {
	crashes := c.handler.options.Crashes
	if !crashes.NeedsCheck() {
		return nil
	}
	send := c.send(current)
	send.IsOpen, send.Lifetime = true, c.timing.deadline.Sub(c.handler.options.Now())
	before, isAnnounced := crashes.Announce(ctx, send, c.attempts.suspicion)
	if !isAnnounced {
		return nil
	}
	current.isAnnounced, current.known, c.attempts.suspicion = true, before.Crashes, before
	failure := c.refuseSuspected()
	if failure != nil {
		c.attempts.unused = send.ID
	}
	return failure
}

// refuseSuspected returns an error if the request may not be sent to another instance.
func (c *call) refuseSuspected() (failure *result.Error) {
	known := c.attempts.suspicion
	switch {
	case quarantine.IsQuarantined(known.Crashes):
		failure = result.Errorf(result.RequestQuarantined, "%d back ends have ended under the request", known.Crashes)
	case quarantine.IsQuarantined(known.Suspected):
		failure = unresolvedSends.errorf("%d back ends have ended under the request or may have", known.Suspected)
	default:
		return nil
	}
	c.handler.options.Logger.Info("request not sent to back ends", c.crashFields()...)
	return failure
}

// send describes a send to the other gateways.
func (c *call) send(current *attempt) quarantine.Send {
	instance := &current.assignment.Instance
	return quarantine.Send{
		Fingerprint: c.fingerprint(), ID: current.id, Instance: instance.Address + " " + instance.Incarnation().String(),
		SentAgo: c.handler.options.Now().Sub(current.started),
	}
}

// newAttempt returns a try at an instance. Its send takes the place of an announced one that the
// request doesn't need any more, so that this doesn't count against it.
func (c *call) newAttempt(assignment *backend.Assignment) *attempt {
	current := &attempt{
		assignment: assignment, started: c.handler.options.Now(), id: newSendID(), isContinuation: c.response.order.lastID != "" || c.isResumption(),
	}
	c.response.order.beginRun(current.isContinuation, c.handler.numbering.Scheme(softwareOf(&assignment.Instance)))
	if c.attempts.unused != 0 {
		current.id, current.isAnnounced = c.attempts.unused, true
		c.attempts.unused = 0
	}
	return current
}

// newSendID returns an id that no other send has.
func newSendID() quarantine.SendID { return quarantine.SendID(rand.Uint64() | 1) }

// dropUnused drops an announced send whose place no other has taken.
func (c *call) dropUnused(ctx context.Context) {
	if c.attempts.unused != 0 {
		c.handler.options.Crashes.Drop(ctx, c.fingerprint(), c.attempts.unused)
	}
}

// settleSend tells the other gateways what has become of a send. Whether the instance of one
// without an outcome has ended is checked at once if the request may be tried again, and later
// on by the SendWatcher.
func (c *call) settleSend(ctx context.Context, current *attempt, how sendEnd) {
	crashes := c.handler.options.Crashes
	switch {
	case how == sendAnswered:
		if crashes.NeedsCheck() {
			c.attempts.settling.Wait()
			crashes.Completed(ctx, c.fingerprint())
		}
	case how == sendUnconfirmed && !current.assignment.IsLeaving():
		watched := c.watchedSend(current, how)
		c.attempts.deciding.Go(func() { watched.settleUnmarked(context.WithoutCancel(ctx)) })
	case how.hasOutcome():
		if current.isAnnounced {
			c.attempts.unused = current.id
		}
	case how == sendStopped:
	default:
		c.settleUnknown(ctx, c.watchedSend(current, how), how)
	}
}

// settleUnknown settles a send without an outcome. An end that is seen is reported before the
// request is tried again. If the instance may have ended, this try knows at once, and other
// gateways before the client has its answer.
func (c *call) settleUnknown(ctx context.Context, watched *watchedSend, how sendEnd) {
	found := upstream.LifeContinues
	switch how {
	case sendBroken:
		found = c.checkEnd(ctx, watched)
	case sendUnreachable:
		found = watched.assume(upstream.LifeSilent)
	}
	switch {
	case found == upstream.LifeContinues && how == sendBroken:
		watched.settle(ctx, found)
	case found == upstream.LifeContinues:
		c.handler.watcher.add(watched)
	case found == upstream.LifeEnded:
		c.attempts.suspicion = watched.settle(ctx, found)
	case found == upstream.LifeUndecided:
		deciding := c.decisionContext(ctx)
		c.attempts.deciding.Go(func() { watched.decide(deciding) })
		c.attempts.undecided = append(c.attempts.undecided, watched)
		c.awaitDecisions()
	default:
		c.attempts.suspicion.Suspected++
		c.attempts.settling.Go(func() { watched.settleOrWatch(ctx, found) })
	}
}

// decisionContext returns a context that ends with that of the call, unless the call is answered first:
// then nobody waits for the decision, and no next try may come before it.
func (c *call) decisionContext(ctx context.Context) context.Context {
	deciding, giveUp := context.WithCancel(context.WithoutCancel(ctx))
	c.attempts.keepDeciding = append(c.attempts.keepDeciding, context.AfterFunc(ctx, giveUp))
	return deciding
}

// awaitDecisions waits for the checks of undecided sends if the request could be sent to too many
// instances otherwise. The other gateways needn't know of them before the client has its answer.
func (c *call) awaitDecisions() {
	if !quarantine.IsQuarantined(c.attempts.suspicion.Suspected + len(c.attempts.undecided)) {
		return
	}
	c.attempts.deciding.Wait()
	for _, decided := range c.attempts.undecided {
		c.attempts.suspicion = c.attempts.suspicion.Most(decided.suspicion)
	}
	c.attempts.undecided = nil
}

// watchedSend returns what the SendWatcher needs to know of a send whose exchange has just
// ended.
func (c *call) watchedSend(current *attempt, how sendEnd) *watchedSend {
	request := current.request
	send := c.send(current)
	send.IsOpen = current.isAnnounced
	return &watchedSend{
		handler: c.handler, assignment: current.assignment, send: send, known: current.known,
		sentAt: current.started, endedAt: c.handler.options.Now(), isBroken: how == sendBroken, isNoted: current.isAnnounced,
		process: &upstream.Request{
			Address: request.Address, Instance: request.Instance, Started: request.Started, SentAt: request.SentAt,
			KeepsSpare: request.KeepsSpare, ChecksProcess: request.ChecksProcess, IsUnlisted: request.IsUnlisted,
		},
		logFields: append(c.crashFields(), lifeFields(&current.assignment.Instance)...),
		suspicion: c.attempts.suspicion,
	}
}

// checkEnd checks whether the instance has ended, or has fallen silent.
func (c *call) checkEnd(ctx context.Context, watched *watchedSend) (found upstream.Life) {
	for range maxEndChecks {
		found = watched.check(context.WithoutCancel(ctx), endProbeTimeout, false)
		if found != upstream.LifeSilent {
			break
		}
	}
	return found
}

// logSend logs that the request is sent to an instance.
func (c *call) logSend(assignment *backend.Assignment) {
	fields := append([]zap.Field{
		zap.String("request", c.input.info.ID), zap.String("route", c.routing.route.Name),
		zap.Int64("outstanding", assignment.Outstanding), zap.Int("sends", c.attempts.sends),
	}, lifeFields(&assignment.Instance)...)
	c.handler.options.Logger.Debug("sending to back end", fields...)
}

// crashFields returns log fields that identify the request over the tries of its client.
func (c *call) crashFields() []zap.Field {
	return []zap.Field{
		zap.String("request", c.input.info.ID), zap.Stringer("fingerprint", c.fingerprint()), zap.Int("crashes", c.attempts.suspicion.Crashes),
		zap.Int("suspected", c.attempts.suspicion.Suspected),
		zap.String("program", c.input.info.Program), zap.String("route", c.routing.route.Name),
	}
}
