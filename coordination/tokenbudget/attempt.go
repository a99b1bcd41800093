package tokenbudget

import (
	"errors"
	"time"

	"github.com/marblering/marblering/state/budget"
)

const (
	// maxSlowAttempts bounds the slow failures of one reservation. Hosts that are slow
	// together are overloaded, and each further attempt repeats the work: without the bound
	// up to five hosts did it for one request.
	maxSlowAttempts = 2
	// slowAttemptThreshold is the duration from which a failed attempt counts as slow. A
	// host that refuses connections fails much sooner.
	slowAttemptThreshold = attemptTimeout / 2
)

// attempt is the result of one request to one host.
type attempt struct {
	err      error
	duration time.Duration
	// callerGone is set if the caller no longer waits for the reservation.
	callerGone bool
}

// step is what a reservation does after an attempt. It is one of the types below.
type step interface{ isStep() }

// finish ends the reservation with the host's decision; a nil error grants it.
type finish struct{ err error }

// hostOverloaded ends the reservation because the host is overloaded. Another host would
// do the same work and doesn't know which programs are running.
type hostOverloaded struct{ err error }

// tryNextHost asks the next host of the program.
type tryNextHost struct{}

// tryReserveHolder asks the next host because the rest of the budget is reserved by
// another one. That host can grant the turn from its reserve, release what its turns don't
// need, and settle the reserves of its earlier incarnations.
type tryReserveHolder struct{ err error }

// giveUp ends the reservation without a decision.
type giveUp struct{}

func (finish) isStep()           {}
func (hostOverloaded) isStep()   {}
func (tryNextHost) isStep()      {}
func (tryReserveHolder) isStep() {}
func (giveUp) isStep()           {}

// nextStep chooses the step after an attempt. slow is the number of slow attempts of this
// reservation, including the last one.
func nextStep(last attempt, slow int) step {
	isLast := last.callerGone || slow >= maxSlowAttempts
	switch {
	case errors.Is(last.err, budget.ErrReserved) && !isLast:
		return tryReserveHolder{last.err}
	case last.err == nil || IsRefusal(last.err):
		return finish{last.err}
	case errors.Is(last.err, ErrOverloaded):
		return hostOverloaded{last.err}
	case isLast:
		return giveUp{}
	}
	return tryNextHost{}
}

// isSlow reports whether the attempt took long enough to count as slow.
func (a attempt) isSlow() bool { return a.duration >= slowAttemptThreshold }
