package quota

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// leaseDuration is how long a holder grants permits after it sent its last renewal, and
	// so roughly how long the slot of a failed holder grants nothing.
	leaseDuration = 1200 * time.Millisecond
	// renewInterval is the interval between renewals. One of them may fail by changeTimeout
	// within leaseDuration.
	renewInterval = 350 * time.Millisecond
	// takeoverDelay is how long a node must see no renewal before it takes the slot. It
	// exceeds leaseDuration by 5 % to allow for clocks that run at different rates.
	takeoverDelay = leaseDuration + leaseDuration/20
	// minReadPause and maxReadPause bound the pause between changes by a node that doesn't
	// hold the slot, which only read the register while another one holds it.
	minReadPause = 150 * time.Millisecond
	maxReadPause = time.Second
	// readPauseFactor is the pause as a multiple of the duration of the change before it.
	// Each read of a register makes a change of another node that is under way start again,
	// so that frequent reads of a slow register would keep its holder from renewing.
	readPauseFactor = 3
)

// claim is the content of a slot's register.
type claim struct {
	// Holder is the unique id of the process that holds the slot, empty if the slot was
	// given back. Node is the name of its machine.
	Holder string
	Node   string
	// Term grows with each new holder, Renewal with each renewal.
	Term    uint64
	Renewal uint64
}

// errSlotHeld means that another node holds the slot or may still hold it.
var errSlotHeld = merry.Sentinel("another node holds the slot")

// lease is what a process knows about the lease of one slot. It does no I/O and reads no
// clock.
type lease struct {
	own claim
	// validUntil is when this process must stop granting permits, zero if it doesn't hold
	// the slot.
	validUntil time.Time
	// takenAt is when this process took the slot.
	takenAt time.Time
	// seen is the newest claim of another process that was read, seenSince the end of the
	// read that first returned it.
	seen      claim
	seenSince time.Time
	// nextAttempt is when the register is due to be read or changed next.
	nextAttempt time.Time
}

func newLease(holder, node string) *lease { return &lease{own: claim{Holder: holder, Node: node}} }

// holds reports whether this process may grant permits.
func (l *lease) holds(now time.Time) bool { return now.Before(l.validUntil) }

// isDue reports whether the register is due to be read or changed.
func (l *lease) isDue(now time.Time) bool { return !now.Before(l.nextAttempt) }

// renewOrTake returns the claim that renews this process's lease or takes the slot; sent
// is when the change was requested. A register may call it several times, also on its own
// result.
func (l *lease) renewOrTake(current claim, sent time.Time) (claim, error) {
	if current.Holder == l.own.Holder {
		current.Renewal++
		return current, nil
	}
	if !l.mayTake(current, sent) {
		return claim{}, errSlotHeld
	}
	return claim{Holder: l.own.Holder, Node: l.own.Node, Term: current.Term + 1}, nil
}

// mayTake reports whether nobody grants permits under the claim any more: it was given
// back, it belongs to an earlier process on this machine, where only one runs at a time, or
// it was not renewed within takeoverDelay of being first read.
func (l *lease) mayTake(current claim, now time.Time) bool {
	switch {
	case current.Holder == "" || current.Node == l.own.Node:
		return true
	case current != l.seen:
		return false
	}
	return now.Sub(l.seenSince) >= takeoverDelay
}

// recordGranted records that the register was changed to the claim by a request sent at
// sent, whose answer arrived at now. The lease counts from sent.
func (l *lease) recordGranted(changed claim, sent, now time.Time) {
	if changed.Term != l.own.Term {
		l.own.Term, l.takenAt = changed.Term, now
	}
	l.validUntil = sent.Add(leaseDuration)
	l.nextAttempt = sent.Add(renewInterval)
}

// recordRefused records another process's claim, found by a read that was sent at sent and
// ended at now.
func (l *lease) recordRefused(current claim, sent, now time.Time) {
	l.validUntil = time.Time{}
	if current != l.seen || l.seenSince.IsZero() {
		l.seen, l.seenSince = current, now
	}
	l.nextAttempt = now.Add(l.readPause(sent, now))
}

// recordFailed records that the register could not be read or changed by a change that was
// sent at sent and ended at now. A lease that is still valid is renewed at once, since the
// failed renewal may have taken most of its time.
func (l *lease) recordFailed(sent, now time.Time) {
	l.nextAttempt = now
	if !l.holds(now) {
		l.nextAttempt = now.Add(l.readPause(sent, now))
	}
}

// readPause returns the pause after a change that was sent at sent and ended at now. It ends
// when the claim that was seen may be taken, if that is sooner.
func (l *lease) readPause(sent, now time.Time) time.Duration {
	pause := min(max(readPauseFactor*now.Sub(sent), minReadPause), maxReadPause)
	if wait := l.seenSince.Add(takeoverDelay).Sub(now); !l.seenSince.IsZero() && wait > 0 {
		return min(pause, wait)
	}
	return pause
}

func encodeClaim(c claim) ([]byte, error) { return json.Marshal(c) }

// decodeClaim decodes the register's value. An empty value means that the slot was never
// held.
func decodeClaim(value []byte) (claim, error) {
	var decoded claim
	if len(value) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return claim{}, merry.Prepend(err, "decode the claim of a quota slot")
	}
	return decoded, nil
}
