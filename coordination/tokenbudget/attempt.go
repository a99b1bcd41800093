package tokenbudget

import (
	"errors"
	"time"

	"github.com/marblering/marblering/state/budget"
)

const (
	// slowTries bounds the hosts that one reservation waits for in vain. Hosts that
	// are slow together are overloaded: without the bound up to five hosts began the
	// same work for one request. The number is chosen, not measured.
	slowTries = 2
	// slowAfter is how long a failed try must have taken to count as slow. A host
	// that refuses connections fails much sooner.
	slowAfter = tryTimeout / 2
)

// attempt is how one request to one host ended.
type attempt struct {
	err  error
	took time.Duration
	// givenUp is set once the caller no longer waits for the reservation.
	givenUp bool
}

// step says how a reservation goes on after an attempt. It is one of the types
// below.
type step interface{ isStep() }

// settled ends the reservation with what the host decided; nil grants it.
type settled struct{ err error }

// refusedByHost ends the reservation since the host is overloaded. Other hosts would
// do the same work, and this one knows which programs run.
type refusedByHost struct{ err error }

// askNext asks the next host of the program.
type askNext struct{}

// askHolder asks the next host since another one reserves the rest of the budget: that
// one may grant the turn from its reserve, gives back what no turn of it needs, and knows
// whether its earlier lives have kept a part for good. A gateway that asked one host alone
// refused turns until the reserve was given back by itself, 0.7 s after the holder's last
// turn, and those that came 1.5 s after the first refusal for good, while tokens of a turn
// under way were still to come back (TestReservedTokensAreNeverCalledSpent).
type askHolder struct{ err error }

// unreachable gives up: the shard decided nothing.
type unreachable struct{}

func (settled) isStep()       {}
func (refusedByHost) isStep() {}
func (askNext) isStep()       {}
func (askHolder) isStep()     {}
func (unreachable) isStep()   {}

// next decides by the attempt, and by how many tries of this reservation were slow,
// this one among them.
func next(ended attempt, slow int) step {
	isLast := ended.givenUp || slow >= slowTries
	switch {
	case errors.Is(ended.err, budget.ErrReserved) && !isLast:
		return askHolder{ended.err}
	case ended.err == nil || IsRefusal(ended.err):
		return settled{ended.err}
	case errors.Is(ended.err, ErrOverloaded):
		return refusedByHost{ended.err}
	case isLast:
		return unreachable{}
	}
	return askNext{}
}

// isSlow tells that the host let the reservation wait in vain.
func (a attempt) isSlow() bool { return a.took >= slowAfter }
