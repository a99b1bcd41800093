package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/upstream"
)

// describeStep returns the name of a step and the result code that it reports.
func describeStep(step nextStep) (name string, code result.Code) {
	switch step := step.(type) {
	case tryNextInstance:
		if step.usesRetryBudget {
			return "retry", result.OK
		}
		return "retry unsent", result.OK
	case sendError:
		return "send error", step.failure.Code
	case abortConnection:
		return "abort", step.code
	}
	return "none", result.OK
}

func TestNextStep(t *testing.T) {
	cases := []struct {
		name string
		// change modifies the result of the first of two allowed attempts.
		change func(*attemptResult)
		want   string
		code   result.Code
	}{
		{"refused", func(e *attemptResult) { e.outcome = refused }, "retry", result.OK},
		{"refused, last attempt", func(e *attemptResult) { e.outcome, e.sends = refused, 2 }, "send error", result.BackendBusy},
		{"refused after one that may have run", func(e *attemptResult) { e.outcome, e.sends, e.mayHaveRun = refused, 2, true }, "send error", result.BackendFailed},
		{"unsent", func(e *attemptResult) { e.outcome, e.sends, e.unsent = unsent, 0, 1 }, "retry unsent", result.OK},
		{"unsent, attempts used up", func(e *attemptResult) { e.outcome, e.sends, e.unsent = unsent, 2, 1 }, "retry unsent", result.OK},
		{"unsent at the limit", func(e *attemptResult) { e.outcome, e.unsent = unsent, 4 }, "retry unsent", result.OK},
		{"unsent beyond the limit", func(e *attemptResult) { e.outcome, e.unsent = unsent, 5 }, "send error", result.NoBackend},
		{"unsent beyond the limit after one that may have run", func(e *attemptResult) { e.outcome, e.unsent, e.mayHaveRun = unsent, 5, true }, "send error", result.BackendFailed},
		{"incomplete", func(e *attemptResult) { e.outcome, e.mayHaveRun = incomplete, true }, "send error", result.BackendFailed},
		{"incomplete, repeatable", func(e *attemptResult) { e.outcome, e.mayHaveRun, e.repeatable = incomplete, true, true }, "retry", result.OK},
		{"incomplete, repeatable, last attempt", func(e *attemptResult) { e.outcome, e.mayHaveRun, e.repeatable, e.sends = incomplete, true, true, 2 }, "send error", result.BackendFailed},
		{"broken stream", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten = incomplete, true, true, true
		}, "abort", result.BackendFailed},
		{"broken stream, resumable", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable = incomplete, true, true, true, true
		}, "retry", result.OK},
		{"incomplete, too many crashes", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.suspicion.Suspected = incomplete, true, true, quarantine.MaxCrashes
		}, "send error", result.BackendFailed},
		{"incomplete, one crash more is allowed", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.suspicion.Suspected = incomplete, true, true, quarantine.MaxCrashes-1
		}, "retry", result.OK},
		{"broken stream, resumable, too many crashes", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable, e.suspicion.Suspected = incomplete, true, true, true, true, quarantine.MaxCrashes
		}, "abort", result.BackendFailed},
		{"broken stream, unsent", func(e *attemptResult) { e.outcome, e.unsent, e.headerWritten = unsent, 1, true }, "retry unsent", result.OK},
		{"broken stream, version gone", func(e *attemptResult) {
			e.outcome, e.cause, e.unsent, e.headerWritten, e.mayHaveRun = unsent, errVersionGone, 5, true, true
		}, "abort", result.StreamVersionGone},
		{"resumed stream, version gone", func(e *attemptResult) { e.outcome, e.cause, e.unsent = unsent, errVersionGone, 5 }, "send error", result.StreamVersionGone},
		{"resumed stream, version gone after an attempt that may have run", func(e *attemptResult) {
			e.outcome, e.cause, e.unsent, e.mayHaveRun = unsent, errVersionGone, 5, true
		}, "send error", result.BackendFailed},
		{"turn not stored", func(e *attemptResult) { e.outcome, e.mayHaveRun, e.repeatable = turnNotStored, true, true }, "send error", result.BackendFailed},
		{"turn not stored, header written", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable = turnNotStored, true, true, true, true
		}, "abort", result.BackendFailed},
		{"stream without ids", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable = incomplete, true, true, true, true
			e.cause = fmt.Errorf("%w: broken", errNoEventID)
		}, "abort", result.BackendFailed},
		{"body too large, begun", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable = incomplete, true, true, true, true
			e.cause = &upstream.LimitError{Limit: upstream.LimitBodyBytes}
		}, "abort", result.BackendFailed},
		{"body too large by its length", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable = incomplete, true, true
			e.cause = &upstream.LimitError{Limit: upstream.LimitBodyBytes}
		}, "retry", result.OK},
		{"turn too large", func(e *attemptResult) {
			e.outcome, e.mayHaveRun, e.repeatable, e.headerWritten, e.resumable = incomplete, true, true, true, true
			e.cause = &upstream.LimitError{Limit: limitTurnBytes}
		}, "abort", result.BackendFailed},
		{"deadline passed, may have run", func(e *attemptResult) { e.outcome, e.isDone, e.mayHaveRun, e.repeatable = abandoned, true, true, true }, "send error", result.BackendTimeout},
		{"deadline passed, never sent", func(e *attemptResult) { e.outcome, e.isDone, e.sends, e.unsent = abandoned, true, 0, 1 }, "send error", result.NoBackend},
		{"deadline passed, refused", func(e *attemptResult) { e.outcome, e.isDone = refused, true }, "send error", result.BackendBusy},
		{"deadline passed within a stream", func(e *attemptResult) {
			e.outcome, e.isDone, e.mayHaveRun, e.headerWritten = abandoned, true, true, true
		}, "abort", result.BackendFailed},
		{"stopped, never sent", func(e *attemptResult) { e.outcome, e.isDone, e.isStopped = abandoned, true, true }, "send error", result.Draining},
		{"stopped, may have run", func(e *attemptResult) {
			e.outcome, e.isDone, e.isStopped, e.mayHaveRun, e.repeatable = abandoned, true, true, true, true
		}, "send error", result.NodeStopped},
		{"stopped within a stream", func(e *attemptResult) {
			e.outcome, e.isDone, e.isStopped, e.headerWritten, e.resumable = abandoned, true, true, true, true
		}, "abort", result.NodeStopped},
		{"client gone", func(e *attemptResult) { e.outcome, e.isDone, e.clientGone, e.mayHaveRun = abandoned, true, true, true }, "abort", result.ClientGone},
		{"client gone within a stream", func(e *attemptResult) {
			e.outcome, e.isDone, e.clientGone, e.headerWritten = abandoned, true, true, true
		}, "abort", result.ClientGone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			last := attemptResult{cause: errors.New("the cause"), sends: 1, maxAttempts: 2, timeout: time.Second}
			c.change(&last)
			name, code := describeStep(last.next())
			assert.Equal(t, name, c.want)
			assert.Equal(t, code, c.code)
		})
	}
}

// TestGiveUpReportsCause checks that the error and the log name the cause of a failure.
func TestGiveUpReportsCause(t *testing.T) {
	last := attemptResult{outcome: incomplete, cause: errors.New("the cause"), mayHaveRun: true, timeout: time.Second}
	assert.Equal(t, last.giveUp().(sendError).failure.Message, "the cause")
	last.isDone = true
	assert.Equal(t, last.giveUp().(sendError).failure.Message, "no answer within 1s")
	last.headerWritten = true
	assert.Equal(t, last.giveUp().(abortConnection).cause, last.cause)
}
