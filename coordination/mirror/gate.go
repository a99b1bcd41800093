package mirror

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Patience is how long a source goes without an answer before it asks the store
// itself. The store serves a few nodes; were it asked by every node that misses a
// holder for a moment, its load would grow with their number just when it is
// disturbed or when all nodes start: 3,500 of the 3,670 calls of a quiet day with
// 295 nodes were made by gateways whose first holder hadn't started yet. The zero
// value asks at once.
type Patience struct {
	// Unreached is for holders that can't be reached or answer what is too old.
	Unreached time.Duration
	// Lost is for holders that answer but have lost the store: it is then likely
	// to be lost for all.
	Lost time.Duration
}

// gate tells when a source may ask the store itself. Only the goroutine of the
// source's follower uses it.
type gate struct {
	patience Patience
	// stretch, from 1 to 2, differs between sources, so that those that lost their
	// holders together don't turn to the store together.
	stretch float64
	// since is when somebody last answered, or the store was last asked.
	since time.Time
	// isLost is set where a holder said that it has lost the store and none has
	// answered since.
	isLost bool
}

func newGate(patience Patience, now time.Time) gate {
	return gate{patience: patience, stretch: 1 + rand.Float64(), since: now}
}

// isOpen tells whether the store itself may be asked.
func (g *gate) isOpen(now time.Time) bool {
	patience := g.patience.Unreached
	if g.isLost {
		patience = g.patience.Lost
	}
	return now.Sub(g.since) >= time.Duration(g.stretch*float64(patience))
}

// holderFailed takes in why a holder was left.
func (g *gate) holderFailed(err error) {
	g.isLost = g.isLost || errors.Is(err, errHolderLost)
}

// holderAnswered notes that a holder answered.
func (g *gate) holderAnswered(now time.Time) { g.since, g.isLost = now, false }

// storeAsked notes that the store itself is asked or has answered.
func (g *gate) storeAsked(now time.Time) { g.since = now }
