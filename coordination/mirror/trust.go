package mirror

import (
	"errors"
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/follow"
)

// Why a holder's answer is of no use.
var (
	errHolderLost   = errors.New("the holder has lost the store")
	errHolderMissed = errors.New("the holder doesn't follow the kind")
	errHolderOld    = errors.New("the store hasn't confirmed to the holder for too long")
	errHolderBehind = errors.New("the holder is behind what is known")
)

// errNoHolder is returned where no holder answers and the store itself may not be asked.
var errNoHolder = fmt.Errorf("no holder answers: %w", follow.ErrNobodyAsked)

// trusted decides whether a holder's answer is used, and says why it isn't otherwise. The
// holder has to follow the kind and hear from the store, and the store has to have
// confirmed what it says within maxAge: otherwise changes that are due may be missing.
func trusted(said Answer, maxAge time.Duration) (follow.Changes, error) {
	switch answer := said.(type) {
	case Current:
		if answer.Changes.Age > maxAge {
			return follow.Changes{}, errHolderOld
		}
		return answer.Changes, nil
	case Lost:
		return follow.Changes{}, errHolderLost
	}
	return follow.Changes{}, errHolderMissed
}

// isUseless tells an answer that is of no use from a call that wasn't answered.
func isUseless(err error) bool {
	for _, useless := range []error{errHolderLost, errHolderMissed, errHolderOld, errHolderBehind} {
		if errors.Is(err, useless) {
			return true
		}
	}
	return false
}

// Bounds of the round in which one call asks holder after holder (chosen, not measured).
const (
	// maxAsked is how many holders are asked at most, and maxLost how many that have lost
	// the store: nodes that lose all of them at once must not ask every one as fast as it
	// refuses.
	maxAsked = 4
	maxLost  = 2
	// roundTime is how long the round may have taken for another holder to be asked where
	// the store itself may be asked instead.
	roundTime = 200 * time.Millisecond
)

// round is what one call knows while it asks holder after holder.
type round struct {
	// holders is how many were asked in vain, and lost how many of these have lost the
	// store.
	holders, lost int
	// took is the time since the call began.
	took time.Duration
	// mayAskStore tells whether the store itself may be asked. It is called only where
	// that matters.
	mayAskStore func() bool
}

// goesOn decides whether the call asks another holder. It ends where enough were asked in
// vain, and where it has taken long and the store itself may be asked instead.
func (r round) goesOn() bool {
	if r.holders >= maxAsked || r.lost >= maxLost {
		return false
	}
	return r.took < roundTime || !r.mayAskStore()
}

// add notes a holder that was asked in vain.
func (r *round) add(err error) {
	r.holders++
	if errors.Is(err, errHolderLost) {
		r.lost++
	}
}
