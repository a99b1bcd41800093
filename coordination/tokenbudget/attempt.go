package tokenbudget

import (
	"errors"
	"time"

	"github.com/marblering/marblering/state/budget"
)

const (
	// maxSlowAttempts bounds the hosts that one reservation waits for in vain. Hosts that
	// are slow together are overloaded: without the bound up to five hosts began the
	// same work for one request. The number is chosen, not measured.
	maxSlowAttempts = 2
	// slowAttemptThreshold is how long a failed try must have taken to count as slow. A host
	// that refuses connections fails much sooner.
	slowAttemptThreshold = attemptTimeout / 2
)

// attempt is how one request to one host ended.
type attempt struct {
	err  error
	duration time.Duration
	// callerGone is set once the caller no longer waits for the reservation.
	callerGone bool
}

// step says how a reservation goes on after an attempt. It is one of the types
// below.
type step interface{ isStep() }

// decided ends the reservation with what the host decided; nil grants it.
type decided struct{ err error }

// hostOverloaded ends the reservation since the host is overloaded. Other hosts would
// do the same work, and this one knows which programs run.
type hostOverloaded struct{ err error }

// tryNextHost asks the next host of the program.
type tryNextHost struct{}

// tryReserveHolder asks the next host since another one reserves the rest of the budget: that
// one may grant the turn from its reserve, gives back what no turn of it needs, and knows
// whether its earlier lives have kept a part for good. A gateway that asked one host alone
// refused turns until the reserve was given back by itself, 0.7 s after the holder's last
// turn, and those that came 1.5 s after the first refusal for good, while tokens of a turn
// under way were still to come back (TestReservedTokensAreNeverCalledSpent).
type tryReserveHolder struct{ err error }

// giveUp gives up: the shard decided nothing.
type giveUp struct{}

func (decided) isStep()       {}
func (hostOverloaded) isStep() {}
func (tryNextHost) isStep()       {}
func (tryReserveHolder) isStep()     {}
func (giveUp) isStep()   {}

// nextStep decides by the attempt, and by how many tries of this reservation were slow,
// this one among them.
func nextStep(ended attempt, slow int) step {
	isLast := ended.callerGone || slow >= maxSlowAttempts
	switch {
	case errors.Is(ended.err, budget.ErrReserved) && !isLast:
		return tryReserveHolder{ended.err}
	case ended.err == nil || IsRefusal(ended.err):
		return decided{ended.err}
	case errors.Is(ended.err, ErrOverloaded):
		return hostOverloaded{ended.err}
	case isLast:
		return giveUp{}
	}
	return tryNextHost{}
}

// isSlow tells that the host let the reservation wait in vain.
func (a attempt) isSlow() bool { return a.duration >= slowAttemptThreshold }
