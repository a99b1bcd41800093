package backend

import "time"

// Ending is how a request ended at its instance, as far as it says something of the
// instance: Answered, Broken, Waited or Unjudged.
type Ending interface{ isEnding() }

// Answered is a whole answer.
type Answered struct {
	// Wait is the time to the first event, or to the whole of a plain answer.
	Wait time.Duration
	// Faulty is set where the instance answered with an error of its own.
	Faulty bool
}

// Broken is a broken connection, or an answer that isn't one.
type Broken struct{}

// Waited is a request that was given up before anything of its answer came.
type Waited struct {
	// Wait is the time until it was given up.
	Wait time.Duration
}

// Unjudged says nothing of the instance, such as a refusal, which is a sign of
// load.
type Unjudged struct{}

func (Answered) isEnding() {}
func (Broken) isEnding()   {}
func (Waited) isEnding()   {}
func (Unjudged) isEnding() {}
