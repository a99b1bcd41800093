// Package reach tracks which peers responded recently, so that a node asks those first and
// detects when it can reach none of them.
//
// It sends no requests: the code that sends them reports how they end.
package reach

import (
	"sync"
	"time"
)

const (
	// avoidDuration is how long a peer is asked last after it failed.
	avoidDuration = 2 * time.Second
	// A node is cut off once no peer has responded for cutOffDelay and at least
	// minCutOffFailures requests have failed since the last response. A gateway that is cut
	// off refuses at once what would wait 0.8 s otherwise.
	cutOffDelay       = 500 * time.Millisecond
	minCutOffFailures = 3
)

// Tracker records how requests to peers end. Peers are identified by their addresses. It
// is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mutex sync.Mutex
	// failedAt is when each peer last failed; peers that responded since are removed.
	failedAt map[string]time.Time
	// respondedAt is when any peer last responded, failures the number of requests that
	// failed since.
	respondedAt time.Time
	failures    int
}

// New returns a tracker without peers. Now must return monotonic times.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, failedAt: make(map[string]time.Time)}
}

// RecordResponse records that the peer responded, whatever the response was.
func (t *Tracker) RecordResponse(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.failedAt, peer)
	t.respondedAt, t.failures = t.now(), 0
}

// RecordFailure records that the peer didn't respond or couldn't process the request.
func (t *Tracker) RecordFailure(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failedAt[peer] = t.now()
	t.failures++
}

// IsAvoided reports whether the peer is to be asked last: it failed recently and hasn't
// responded since.
func (t *Tracker) IsAvoided(peer string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	failedAt, found := t.failedAt[peer]
	return found && t.now().Sub(failedAt) < avoidDuration
}

// Compare orders avoided peers after the others, with results like cmp.Compare.
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

// IsCutOff reports whether several requests have failed and no peer has responded for a
// while. Callers should then reject work that needs the peers instead of letting it wait.
func (t *Tracker) IsCutOff() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failures >= minCutOffFailures && t.now().Sub(t.respondedAt) >= cutOffDelay
}
