package upstream

import (
	"errors"
	"fmt"
)

// Error is why an exchange failed.
type Error struct {
	// Sent tells that bytes of the request may have reached the back end, which may
	// have run it.
	Sent bool
	// Stage is the part of the exchange that failed.
	Stage Stage
	// Cause is the error of the connection, or ErrUnreachable.
	Cause error
}

// Stage is a part of an exchange.
type Stage string

// Stages of an exchange: connecting, sending the request, and reading the head and the
// body of the answer.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageHead  Stage = "head"
	StageBody  Stage = "body"
)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var errForeignAnswers = errors.New("too many answers to other requests")
