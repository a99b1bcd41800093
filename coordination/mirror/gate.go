package mirror

import (
	"errors"
	"math/rand/v2"
	"time"
)

// FallbackDelays holds the delays before a source that hears from no holder asks the store.
// Without a delay the load on the store would grow with the number of nodes whenever holders
// fail or all nodes start. The zero value asks at once.
type FallbackDelays struct {
	// HoldersUnreachable applies while holders can't be reached or their answers are stale, counted
	// from the last usable answer.
	HoldersUnreachable time.Duration
	// StoreLost applies while holders answer that they have lost the store, counted from the last
	// usable answer. The store is then probably unavailable to this node too.
	StoreLost time.Duration
}

// maxStoreFailures is the number of consecutive failed calls after which a store that
// answered before counts as lost. A single long call may fail without an outage.
const maxStoreFailures = 2

// storeGate decides when a source may ask the store directly. It does no I/O: the source
// reports when and how calls ended.
//
//   - It opens when no holder has given a usable answer for the delay. The delay is longer
//     while holders answer that they have lost the store, unless they have become
//     unreachable since.
//   - Once the store has answered, the gate stays open until a holder gives a usable answer.
//     If the delay applied to each call, every change would be late while no holder is
//     available.
//   - After maxStoreFailures failed calls to the store in a row the delay applies again.
//
// Only the goroutine of the source's follower uses it.
type storeGate struct {
	delays FallbackDelays
	// jitterFactor, from 1 to 2, multiplies the delays, so that sources that lose their
	// holders at the same time don't ask the store at the same time.
	jitterFactor float64
	// delayStart is when the delay began: when the source was created, at the last usable
	// answer of a holder or answer of the store, or at the last failed call to a store that
	// isn't followed.
	delayStart time.Time
	// lostReported is when a holder last answered that it has lost the store; zero after a
	// usable answer of a holder or an answer of the store.
	lostReported time.Time
	// failuresLeft is the number of further failed calls until the store counts as lost;
	// zero while the store isn't followed.
	failuresLeft int
}

func newStoreGate(delays FallbackDelays, now time.Time) storeGate {
	return storeGate{delays: delays, jitterFactor: 1 + rand.Float64(), delayStart: now}
}

// isOpen reports whether the store may be asked directly.
func (g *storeGate) isOpen(now time.Time) bool {
	switch {
	case g.followsStore():
		return true
	case !g.lostReported.IsZero():
		// The holders that answered may have become unreachable since.
		unreachable := now.After(g.lostReported) && g.hasElapsed(now, g.lostReported, g.delays.HoldersUnreachable)
		return unreachable || g.hasElapsed(now, g.delayStart, g.delays.StoreLost)
	}
	return g.hasElapsed(now, g.delayStart, g.delays.HoldersUnreachable)
}

// hasElapsed reports whether the delay, with jitter, has passed since the given time.
func (g *storeGate) hasElapsed(now, since time.Time, delay time.Duration) bool {
	return now.Sub(since) >= time.Duration(g.jitterFactor*float64(delay))
}

// followsStore reports whether the source follows the store rather than a holder.
func (g *storeGate) followsStore() bool { return g.failuresLeft > 0 }

// holderFailed records a failed call to a holder or an unusable answer.
func (g *storeGate) holderFailed(now time.Time, err error) {
	if errors.Is(err, errHolderLost) {
		g.lostReported = now
	}
}

// holderAnswered records a usable answer of a holder.
func (g *storeGate) holderAnswered(now time.Time) { g.recordAnswer(now, 0) }

// storeAnswered records an answer of the store.
func (g *storeGate) storeAnswered(now time.Time) { g.recordAnswer(now, maxStoreFailures) }

func (g *storeGate) recordAnswer(now time.Time, failuresLeft int) {
	g.delayStart, g.lostReported, g.failuresLeft = now, time.Time{}, failuresLeft
}

// storeFailed records a failed call to the store.
func (g *storeGate) storeFailed(now time.Time) {
	g.failuresLeft = max(g.failuresLeft-1, 0)
	if !g.followsStore() {
		g.delayStart = now
	}
}
