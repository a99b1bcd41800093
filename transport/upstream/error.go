package upstream

import (
	"errors"
	"fmt"
)

// Error is why an exchange failed.
type Error struct {
	// Sent is set if bytes of the request may have reached the backend, which may have
	// executed it.
	Sent bool
	// Stage is the part of the exchange that failed.
	Stage Stage
	// Cause is the underlying error, ErrUnreachable if the backend's host stopped
	// responding.
	Cause error
}

// Stage is a part of an exchange.
type Stage string

// Stages of an exchange: connecting, sending the request, and reading the head and the
// body of the response.
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

var (
	errMismatchedResponses  = errors.New("too many answers to other requests")
	errUnidentifiedResponse = errors.New("an answer without an id follows one to another request")
	errNoIdentity           = errors.New("the process doesn't tell its start properly")
)
