package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/transport/upstream"
)

// sendEnd is how a send to an instance ended, for metrics and the log.
type sendEnd string

const (
	sendAnswered    sendEnd = "answered"
	sendRefused     sendEnd = "refused"
	sendNotMade     sendEnd = "not_made"
	sendInvalid     sendEnd = "invalid"
	sendUnconfirmed sendEnd = "unconfirmed"
	sendBroken      sendEnd = "broken"
	sendUnreachable sendEnd = "unreachable"
	sendLeft        sendEnd = "client_left"
	sendTimedOut    sendEnd = "timed_out"
	sendStopped     sendEnd = "stopped"
)

// hasOutcome reports whether the instance has shown what became of the request. Without that,
// it may end under the request later, or has ended unseen.
func (e sendEnd) hasOutcome() bool {
	switch e {
	case sendAnswered, sendRefused, sendNotMade, sendInvalid, sendUnconfirmed:
		return true
	}
	return false
}

// sendEndOf returns how an attempt ended.
func (c *call) sendEndOf(ctx context.Context, current *attempt, ended outcome, cause error) sendEnd {
	switch {
	case ended == delivered || ended == turnNotStored:
		return sendAnswered
	case ended == unconfirmed, errors.Is(cause, upstream.ErrProcessEnded) && current.assignment.IsLeaving():
		return sendUnconfirmed // an instance that is leaving ends after its last answer
	case ended == refused:
		return sendRefused
	case ended == unsent:
		return sendNotMade
	case isStopped(ctx):
		return sendStopped
	case c.request.Context().Err() != nil:
		return sendLeft
	case c.isDone(ctx):
		return sendTimedOut
	case errors.Is(cause, upstream.ErrUnreachable):
		return sendUnreachable
	case isInvalid(cause):
		return sendInvalid
	}
	return sendBroken
}

// isInvalid reports whether the instance has answered, but not with a proper response. One that
// stops within the head of a response may have ended.
func isInvalid(cause error) bool {
	var excess *upstream.LimitError
	if errors.As(cause, &excess) {
		return excess.Limit != upstream.LimitHeadTime
	}
	invalid := []error{
		errInvalidResponse, upstream.ErrInvalidStatus, upstream.ErrCutHead,
		errNotResumed, errNotContinued, errNotRising, errEventsMissing, errSecondResponse, errJoinedEvents,
	}
	return slices.ContainsFunc(invalid, func(one error) bool { return errors.Is(cause, one) })
}

// recordSendEnd counts how a send ended, and logs one without an outcome.
func (c *call) recordSendEnd(current *attempt, how sendEnd, cause error) {
	c.handler.options.Metrics.sends.WithLabelValues(string(how)).Inc()
	c.handler.options.Metrics.countProcessEnd(cause)
	if how.hasOutcome() {
		return
	}
	fields := append(c.crashFields(), lifeFields(&current.assignment.Instance)...)
	c.handler.options.Logger.Info("send without an outcome", append(fields,
		zap.String("ended", string(how)), zap.Duration("ran", c.handler.options.Now().Sub(current.started)),
		zap.Int("sends", c.attempts.sends), zap.Error(cause))...)
}

// lifeFields returns log fields that identify one process of an instance.
func lifeFields(instance *backend.Instance) []zap.Field {
	started := "unknown"
	if !instance.Started.IsZero() {
		started = instance.Started.UTC().Format(time.RFC3339Nano)
	}
	return []zap.Field{
		zap.String("instance", instance.ID), zap.String("started", started), zap.String("address", instance.Address),
	}
}
