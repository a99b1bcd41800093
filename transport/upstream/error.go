package upstream

import (
	"errors"
	"fmt"
)

// Error is a failed exchange.
type Error struct {
	// Sent tells that bytes of the request may have reached the back end, which
	// may then have run it.
	Sent bool
	// Stage names what failed.
	Stage Stage
	Cause error
}

// Stage is a part of an exchange.
type Stage string

// Stages of an exchange.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageHead  Stage = "head"
	StageBody  Stage = "body"
)

// Error names stage and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var errForeignAnswers = errors.New("too many answers to other requests")
