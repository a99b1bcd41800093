package backend

import "time"

// Outcome is the result of a request as a signal of its instance's health: Completed,
// Failed, NoResponse or Inconclusive.
type Outcome interface{ isOutcome() }

// Completed is a complete response.
type Completed struct {
	// Wait is the time to the first event of a stream, or to the end of a plain response.
	Wait time.Duration
	// ServerError is set if the instance responded with a server error.
	ServerError bool
}

// Failed is a failed connection or a malformed response.
type Failed struct{}

// NoResponse is a request that timed out or was abandoned before its response began.
type NoResponse struct {
	// Wait is the time until the request ended.
	Wait time.Duration
}

// Inconclusive says nothing about the instance's health. An example is a refusal, which
// indicates load.
type Inconclusive struct{}

func (Completed) isOutcome()    {}
func (Failed) isOutcome()       {}
func (NoResponse) isOutcome()   {}
func (Inconclusive) isOutcome() {}
