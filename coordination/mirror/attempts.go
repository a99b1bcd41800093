package mirror

import (
	"errors"
	"fmt"
	"time"

	"github.com/marblering/marblering/coordination/follow"
)

// Reasons why a holder's answer can't be used.
var (
	errHolderLost         = errors.New("holder has lost the store")
	errHolderNotFollowing = errors.New("holder doesn't follow this kind of objects")
	errHolderStale        = errors.New("holder's data is stale: the store hasn't confirmed it recently enough")
	errHolderBehind       = errors.New("holder's listing is incomplete or older than the known revision")
)

// errNoHolder is returned if no holder gives a usable answer and the store may not be asked
// yet.
var errNoHolder = fmt.Errorf("no holder answers: %w", follow.ErrNotQueried)

// usableChanges returns the changes of a holder's answer, or the reason why it can't be used.
// The holder must follow the kind and be in contact with the store, which must have confirmed
// the data within maxAge. Otherwise recent changes may be missing.
func usableChanges(answer WatchAnswer, maxAge time.Duration) (follow.Changes, error) {
	switch answer := answer.(type) {
	case Changed:
		if answer.Changes.Age > maxAge {
			return follow.Changes{}, errHolderStale
		}
		return answer.Changes, nil
	case StoreLost:
		return follow.Changes{}, errHolderLost
	}
	return follow.Changes{}, errHolderNotFollowing
}

// isUnusable reports whether the error is an unusable answer rather than a failed call.
func isUnusable(err error) bool {
	for _, unusable := range []error{errHolderLost, errHolderNotFollowing, errHolderStale, errHolderBehind} {
		if errors.Is(err, unusable) {
			return true
		}
	}
	return false
}

// Limits of the attempts at holders within one call.
const (
	// maxHoldersPerCall and maxLostPerCall limit the failed attempts, and those at holders
	// that have lost the store: nodes that lose all holders at once must not ask every one of
	// them in quick succession.
	maxHoldersPerCall = 4
	maxLostPerCall    = 2
	// holderTimeLimit is the time after which no further holder is asked if the store may be
	// asked instead.
	holderTimeLimit = 200 * time.Millisecond
)

// holderAttempts counts the failed attempts of one call.
type holderAttempts struct {
	// failed counts the holders that gave no usable answer, and lost those of them that have
	// lost the store.
	failed, lost int
	// elapsed is the time since the start of the call.
	elapsed time.Duration
	// mayAskStore reports whether the store may be asked directly. It is called only if
	// needed.
	mayAskStore func() bool
}

// mayContinue reports whether the call may ask another holder.
func (a holderAttempts) mayContinue() bool {
	if a.failed >= maxHoldersPerCall || a.lost >= maxLostPerCall {
		return false
	}
	return a.elapsed < holderTimeLimit || !a.mayAskStore()
}

// recordFailure counts a holder that gave no usable answer.
func (a *holderAttempts) recordFailure(err error) {
	a.failed++
	if errors.Is(err, errHolderLost) {
		a.lost++
	}
}
