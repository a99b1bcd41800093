package engineapi

import (
	"fmt"
	"time"
)

// Kind says what went wrong at an engine.
type Kind string

// Kinds of errors.
const (
	// Unreachable: no connection, or it broke before any answer.
	Unreachable Kind = "unreachable"
	// Refused: the engine declined the request for good, such as a malformed one.
	Refused Kind = "refused"
	// Leaving: the engine is draining and takes no new work.
	Leaving Kind = "leaving"
	// Full: the engine's queue is full.
	Full Kind = "full"
	// NotLoaded: the engine hasn't loaded the model or the adapter, or knows no
	// such request or context.
	NotLoaded Kind = "not loaded"
	// Duplicate: a request with this id is running or has run recently.
	Duplicate Kind = "duplicate"
	// Truncated: the answer ended before it was whole.
	Truncated Kind = "truncated"
	// Crossed: a chunk carried the id of another request, or wasn't the next.
	Crossed Kind = "crossed"
	// Cancelled: the request was cancelled at the engine.
	Cancelled Kind = "cancelled"
	// Stale: an order's fence is older than the engine's.
	Stale Kind = "stale"
	// Failed: the engine reported a failure, or its answer can't be read.
	Failed Kind = "failed"
	// Abandoned: the caller's context ended or its onText failed.
	Abandoned Kind = "abandoned"
)

// Error is the error of every method of Client.
type Error struct {
	Kind    Kind
	Address string
	// Operation is the method and path that were tried.
	Operation string
	// Dispatched is false only where the engine certainly didn't run the
	// request: no connection was made, or the engine refused it.
	Dispatched bool
	// RetryAfter is the pause that the engine asked for; zero where it named
	// none.
	RetryAfter time.Duration
	// Fence is the engine's fence where Kind is Stale.
	Fence   uint64
	Message string
	Cause   error
}

// Error names the engine, what was tried and what went wrong.
func (e *Error) Error() string {
	text := fmt.Sprintf("engine %s: %s: %s", e.Address, e.Operation, e.Kind)
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}
