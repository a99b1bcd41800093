// Package reach remembers which peers answered lately, so that a node asks those
// first, and notices when none of them can be reached.
package reach

import (
	"sync"
	"time"
)

const (
	// avoidTime is how long a peer that failed is asked last.
	avoidTime = 2 * time.Second
	// cutOffAfter is how long nobody may have answered, and cutOffFailures how
	// many requests must have failed meanwhile, before a node counts as cut off.
	cutOffAfter    = 500 * time.Millisecond
	cutOffFailures = 3
)

// Tracker is told how requests to peers end. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mutex  sync.Mutex
	failed map[string]time.Time
	// heard is when any peer answered last, failures how many requests failed
	// since.
	heard    time.Time
	failures int
}

// New makes a tracker that has heard of no peer.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, failed: make(map[string]time.Time)}
}

// Heard notes that the peer answered, whatever it said.
func (t *Tracker) Heard(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.failed, peer)
	t.heard, t.failures = t.now(), 0
}

// Failed notes that the peer didn't answer, or couldn't do what was asked.
func (t *Tracker) Failed(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failed[peer] = t.now()
	t.failures++
}

// IsAvoided tells a peer that is asked last: it failed lately, and hasn't
// answered since.
func (t *Tracker) IsAvoided(peer string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	failed, found := t.failed[peer]
	return found && t.now().Sub(failed) < avoidTime
}

// Compare puts peers that are avoided behind the others.
func (t *Tracker) Compare(a, b string) int {
	first, second := t.IsAvoided(a), t.IsAvoided(b)
	switch {
	case first == second:
		return 0
	case first:
		return 1
	}
	return -1
}

// IsCutOff tells that no peer has answered for a while though several requests
// were made: what needs them is better refused at once than kept waiting.
func (t *Tracker) IsCutOff() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failures >= cutOffFailures && t.now().Sub(t.heard) >= cutOffAfter
}
