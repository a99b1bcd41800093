package mirror

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Patience is how long a source waits for holders before it asks the store itself. The
// store serves a few nodes; were it asked by every node that misses a holder for a
// moment, its load would grow with their number just when it is disturbed or when all
// nodes start: of the 3,670 calls of a quiet run with 295 nodes 3,500 were made by
// gateways whose first holder hadn't started yet. The zero value asks at once.
type Patience struct {
	// Unreached is for holders that can't be reached or answer what is too old,
	// counted from the last answer of any.
	Unreached time.Duration
	// Lost is for holders that answer but have lost the store, counted from when one
	// had it: it is then likely to be lost for all.
	Lost time.Duration
}

// storeRetries is how many calls in a row may fail at a store that answered before, until
// it counts as lost to this node as well: held calls are cut now and then (chosen, not
// measured).
const storeRetries = 2

// gate decides when a source may ask the store itself. It has no I/O: it is told how
// calls ended, and when.
//
//   - Holders are waited for until none of them has told what the store has for the
//     patience. While holders answer that they have lost the store the patience is
//     longer, unless these have gone as well since.
//   - From then on the store is followed until a holder tells again what it has. Were the
//     patience waited for before each call, changes would be late by as much for as long
//     as all holders are gone: up to 3.3 s lay between two answers where changes are due
//     within 2 s, seen with three holders that had lost their power.
//   - Where calls at the store fail storeRetries times in a row, holders are waited for
//     again.
//
// Only the goroutine of the source's follower uses it.
type gate struct {
	patience Patience
	// stretch, from 1 to 2, differs between sources, so that those that lost their
	// holders together don't turn to the store together.
	stretch float64
	// since is when a holder last told what the store has, or the store itself last
	// answered or was last asked in vain.
	since time.Time
	// reached is when a holder last said that it has lost the store; zero where one
	// had it since, or the store itself answered.
	reached time.Time
	// retries is how many calls may still fail at the store that this source follows;
	// zero while it follows holders.
	retries int
}

func newGate(patience Patience, now time.Time) gate {
	return gate{patience: patience, stretch: 1 + rand.Float64(), since: now}
}

// isOpen tells whether the store itself may be asked.
func (g *gate) isOpen(now time.Time) bool {
	switch {
	case g.followsStore():
		return true
	case !g.reached.IsZero():
		// Those that answered may have gone as well since.
		haveGone := now.After(g.reached) && g.isOver(now, g.reached, g.patience.Unreached)
		return haveGone || g.isOver(now, g.since, g.patience.Lost)
	}
	return g.isOver(now, g.since, g.patience.Unreached)
}

// isOver tells that the patience since the moment is over.
func (g *gate) isOver(now, since time.Time, patience time.Duration) bool {
	return now.Sub(since) >= time.Duration(g.stretch*float64(patience))
}

// followsStore tells that the store answered last, and no holder has since.
func (g *gate) followsStore() bool { return g.retries > 0 }

// holderFailed takes in why a holder's answer isn't used.
func (g *gate) holderFailed(now time.Time, err error) {
	if errors.Is(err, errHolderLost) {
		g.reached = now
	}
}

// holderAnswered takes in that a holder told what the store has.
func (g *gate) holderAnswered(now time.Time) { g.answered(now, 0) }

// storeAnswered takes in that the store itself answered.
func (g *gate) storeAnswered(now time.Time) { g.answered(now, storeRetries) }

func (g *gate) answered(now time.Time, retries int) {
	g.since, g.reached, g.retries = now, time.Time{}, retries
}

// storeFailed takes in that the store itself was asked in vain.
func (g *gate) storeFailed(now time.Time) {
	g.retries = max(g.retries-1, 0)
	if !g.followsStore() {
		g.since = now
	}
}
