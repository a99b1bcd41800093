package quota

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// leaseDuration is how long a holder grants after it sent its last renewal, and so
	// about the time for which a lost holder's slot grants nothing. Chosen, not
	// measured.
	leaseDuration = 1200 * time.Millisecond
	// renewInterval is the time from one renewal to the next. Two may fail within
	// leaseTime.
	renewInterval = 350 * time.Millisecond
	// takeoverDelay is for how long a node must see no renewal before it takes the slot.
	// It is longer than leaseTime by 5 %, for clocks that run at different rates.
	takeoverDelay = leaseDuration + leaseDuration/20
	// readInterval is the pause between two reads of a node that waits for a lease to
	// lapse. Chosen, not measured.
	readInterval = 150 * time.Millisecond
)

// claim is the content of a slot's register.
type claim struct {
	// Holder is the life of the process that holds the slot, unique over all; empty
	// where the slot was given back. Node is the name of its machine.
	Holder string
	Node   string
	// Term grows with each holder, Renewal with each renewal.
	Term    uint64
	Renewal uint64
}

// errSlotHeld means that another node holds the slot, or may.
var errSlotHeld = merry.Sentinel("another node holds the slot")

// lease is what one process knows of one slot. It has no I/O and no clock of its own.
type lease struct {
	own claim
	// validUntil is when this process must stop granting; zero if it doesn't hold the
	// slot.
	validUntil time.Time
	// takenAt is when this process took the slot.
	takenAt time.Time
	// seen is the newest claim of another process that was read, seenSince the end of
	// the read that first returned it.
	seen      claim
	seenSince time.Time
	// nextAttempt is when the register is to be asked next.
	nextAttempt time.Time
}

func newLease(holder, node string) *lease { return &lease{own: claim{Holder: holder, Node: node}} }

// holds tells whether this process may grant.
func (l *lease) holds(now time.Time) bool { return now.Before(l.validUntil) }

// isDue tells that the register is to be asked.
func (l *lease) isDue(now time.Time) bool { return !now.Before(l.nextAttempt) }

// renewOrTake renews this process's claim or takes the slot; sent is when it is asked for.
// It is applied to the register's value, perhaps several times, perhaps to its own
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

// mayTake tells that nobody grants by the claim any more. One of three is so: the claim
// was given back; it is of an earlier process of this machine, on which only one runs
// at a time; or it was not renewed for lapseTime after it was first read, which is
// longer than its holder grants.
func (l *lease) mayTake(current claim, now time.Time) bool {
	switch {
	case current.Holder == "" || current.Node == l.own.Node:
		return true
	case current != l.seen:
		return false
	}
	return now.Sub(l.seenSince) >= takeoverDelay
}

// recordGranted records that the register was changed to the claim by a request sent at sent,
// whose answer came now. The lease counts from sent.
func (l *lease) recordGranted(changed claim, sent, now time.Time) {
	if changed.Term != l.own.Term {
		l.own.Term, l.takenAt = changed.Term, now
	}
	l.validUntil = sent.Add(leaseDuration)
	l.nextAttempt = sent.Add(renewInterval)
}

// recordRefused records the claim of another process that a read has found, which ended now.
func (l *lease) recordRefused(current claim, now time.Time) {
	l.validUntil = time.Time{}
	if current != l.seen || l.seenSince.IsZero() {
		l.seen, l.seenSince = current, now
	}
	l.nextAttempt = now.Add(readInterval)
}

// recordFailed records that the register could not be asked.
func (l *lease) recordFailed(now time.Time) { l.nextAttempt = now.Add(readInterval) }

func encodeClaim(c claim) ([]byte, error) { return json.Marshal(c) }

// decodeClaim reads the register's value; an empty one is that of a slot that nobody
// has held.
func decodeClaim(value []byte) (claim, error) {
	var decoded claim
	if len(value) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return claim{}, merry.Prepend(err, "the claim of a quota's slot")
	}
	return decoded, nil
}
