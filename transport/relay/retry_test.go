package relay

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

// stepOf names a step: the code of a refusal or of a cut.
func stepOf(step nextStep) (name string, code result.Code) {
	switch step := step.(type) {
	case tryAnother:
		if step.spends {
			return "retry", result.OK
		}
		return "try unsent", result.OK
	case refuse:
		return "refuse", step.failure.Code
	case cut:
		return "cut", step.code
	}
	return "none", result.OK
}

func TestNextStep(t *testing.T) {
	cases := []struct {
		name string
		// change makes the case of a request that one of its two attempts has ended for.
		change func(*attemptEnd)
		want   string
		code   result.Code
	}{
		{"refused", func(e *attemptEnd) { e.ended = refused }, "retry", result.OK},
		{"refused, last attempt", func(e *attemptEnd) { e.ended, e.sends = refused, 2 }, "refuse", result.BackendBusy},
		{"refused after one that may have run", func(e *attemptEnd) { e.ended, e.sends, e.mayHaveRun = refused, 2, true }, "refuse", result.BackendFailed},
		{"unsent", func(e *attemptEnd) { e.ended, e.sends, e.unsent = unsent, 0, 1 }, "try unsent", result.OK},
		{"unsent, attempts used up", func(e *attemptEnd) { e.ended, e.sends, e.unsent = unsent, 2, 1 }, "try unsent", result.OK},
		{"unsent at four", func(e *attemptEnd) { e.ended, e.unsent = unsent, 4 }, "try unsent", result.OK},
		{"unsent at five", func(e *attemptEnd) { e.ended, e.unsent = unsent, 5 }, "refuse", result.NoBackend},
		{"unsent at five after one that may have run", func(e *attemptEnd) { e.ended, e.unsent, e.mayHaveRun = unsent, 5, true }, "refuse", result.BackendFailed},
		{"lost", func(e *attemptEnd) { e.ended, e.mayHaveRun = lost, true }, "refuse", result.BackendFailed},
		{"lost, repeatable", func(e *attemptEnd) { e.ended, e.mayHaveRun, e.repeatable = lost, true, true }, "retry", result.OK},
		{"lost, repeatable, last attempt", func(e *attemptEnd) { e.ended, e.mayHaveRun, e.repeatable, e.sends = lost, true, true, 2 }, "refuse", result.BackendFailed},
		{"broken stream", func(e *attemptEnd) { e.ended, e.mayHaveRun, e.repeatable, e.began = lost, true, true, true }, "cut", result.BackendFailed},
		{"broken stream, resumable", func(e *attemptEnd) {
			e.ended, e.mayHaveRun, e.repeatable, e.began, e.resumable = lost, true, true, true, true
		}, "retry", result.OK},
		{"broken stream, unsent", func(e *attemptEnd) { e.ended, e.unsent, e.began = unsent, 1, true }, "try unsent", result.OK},
		{"turn not stored", func(e *attemptEnd) { e.ended, e.mayHaveRun, e.repeatable = unstored, true, true }, "refuse", result.BackendFailed},
		{"turn not stored, stream begun", func(e *attemptEnd) {
			e.ended, e.mayHaveRun, e.repeatable, e.began, e.resumable = unstored, true, true, true, true
		}, "cut", result.BackendFailed},
		{"time is over, may have run", func(e *attemptEnd) { e.ended, e.isOver, e.mayHaveRun, e.repeatable = abandoned, true, true, true }, "refuse", result.BackendTimeout},
		{"time is over, never sent", func(e *attemptEnd) { e.ended, e.isOver, e.sends, e.unsent = abandoned, true, 0, 1 }, "refuse", result.NoBackend},
		{"time is over, refused", func(e *attemptEnd) { e.ended, e.isOver = refused, true }, "refuse", result.BackendBusy},
		{"time is over in a stream", func(e *attemptEnd) { e.ended, e.isOver, e.mayHaveRun, e.began = abandoned, true, true, true }, "cut", result.BackendFailed},
		{"client gone", func(e *attemptEnd) { e.ended, e.isOver, e.clientGone, e.mayHaveRun = abandoned, true, true, true }, "cut", result.ClientGone},
		{"client gone in a stream", func(e *attemptEnd) { e.ended, e.isOver, e.clientGone, e.began = abandoned, true, true, true }, "cut", result.ClientGone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			end := attemptEnd{cause: errors.New("the cause"), sends: 1, attempts: 2, allowed: time.Second}
			c.change(&end)
			name, code := stepOf(end.next())
			assert.Equal(t, name, c.want)
			assert.Equal(t, code, c.code)
		})
	}
}

// TestFailureNamesItsCause: the client and the log are told why.
func TestFailureNamesItsCause(t *testing.T) {
	end := attemptEnd{ended: lost, cause: errors.New("the cause"), mayHaveRun: true, allowed: time.Second}
	assert.Equal(t, end.giveUp().(refuse).failure.Message, "the cause")
	end.isOver = true
	assert.Equal(t, end.giveUp().(refuse).failure.Message, "no answer within 1s")
	end.began = true
	assert.Equal(t, end.giveUp().(cut).cause, end.cause)
}
