package callerapi

import (
	"time"

	"github.com/marblering/marblering/state/result"
)

// Observation is what the metrics record of one request.
type Observation struct {
	// Operation is one of create_program, read_program, end_program,
	// create_child, call and unknown_path.
	Operation string
	Code      result.Code
	// Duration is the time from the arrival to the end of the answer.
	Duration time.Duration
	// FirstToken is the time from the arrival to the first text of a call's
	// answer; zero where there was none.
	FirstToken time.Duration
	// ConnectionLost is set where the caller was gone before the answer was
	// sent whole.
	ConnectionLost bool
}

// Observer gets one observation for each request. It must not block. [Metrics] is
// the usual one.
type Observer interface {
	Observe(Observation)
}

// ignoreObservations is the observer where none is given.
type ignoreObservations struct{}

// Observe implements [Observer].
func (ignoreObservations) Observe(Observation) {}
