package conversation

import (
	"sync"
	"time"
)

const (
	// longestPause is the longest that a refused client is asked to wait.
	longestPause = time.Second
	// pauseShare of the time that the trouble has lasted is the pause: whoever
	// comes back in vain waits longer each time, and not much beyond its end.
	pauseShare = 0.5
	// troubleGap without a failure ends the trouble.
	troubleGap = time.Second
)

// trouble is a time in which state couldn't be reached for some turns. It is safe
// for concurrent use.
type trouble struct {
	now func() time.Time

	mutex       sync.Mutex
	since, last time.Time
}

// pause notes a failure and returns what its client is asked to wait. A client
// comes back a few times only, so that a fixed short pause would use these up
// while a replica set changes.
func (t *trouble) pause() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if now.Sub(t.last) > troubleGap {
		t.since = now
	}
	t.last = now
	lasted := now.Sub(t.since)
	return min(max(time.Duration(pauseShare*float64(lasted)), retryPause), longestPause)
}
