package backend

import "time"

// Ending is the result of a request as a signal of its instance's health: Answered,
// Broken, Waited or Unjudged.
type Ending interface{ isEnding() }

// Answered is a complete response.
type Answered struct {
	// Wait is the time to the first event of a stream, or to the end of a plain response.
	Wait time.Duration
	// Faulty is set if the instance responded with a server error.
	Faulty bool
}

// Broken is a failed connection or a malformed response.
type Broken struct{}

// Waited is a request that timed out or was abandoned before its response began.
type Waited struct {
	// Wait is the time until the request ended.
	Wait time.Duration
}

// Unjudged says nothing about the instance's health. An example is a refusal, which
// indicates load.
type Unjudged struct{}

func (Answered) isEnding() {}
func (Broken) isEnding()   {}
func (Waited) isEnding()   {}
func (Unjudged) isEnding() {}
