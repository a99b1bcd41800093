package conversation

import (
	"sync"
	"time"
)

// When a client may come back that this package has refused. A client comes back a few
// times only. It is told to wait
//
//   - elsewherePause where this gateway reaches no storage node: the next gateway
//     likely does, so the client loses nothing but the way there;
//   - reservedPause where another host holds the rest of the budget, which it gives
//     back within a second of the program's last turn;
//   - else half of the time that the trouble has lasted, between shortestPause and
//     longestPause: a fixed short pause would use up the client's tries while a replica
//     set changes. In place of a fixed 0.2 s it raised what is earned on days with such
//     changes from 0.603 to 0.696 of what is owed, and from 0.713 to 0.738 on another
//     seed (simulated deployment of 64 machines, processor time counted, one run each).
const (
	// elsewherePause is about the time in which a client has connected to another
	// gateway. Chosen, not measured.
	elsewherePause = 60 * time.Millisecond
	// reservedPause is about half of the time in which a reserve is given back.
	// Chosen, not measured.
	reservedPause = 400 * time.Millisecond
	// shortestPause is the shortest pause in trouble: what a hedged read of a turn takes.
	// Chosen, not measured.
	shortestPause = 200 * time.Millisecond
	// longestPause is the longest pause in trouble. Chosen, not measured.
	longestPause = time.Second
	// pauseShare is the part of the time that the trouble has lasted after which a
	// client comes back.
	pauseShare = 0.5
	// troubleGap is the time without a failure that ends the trouble. Chosen, not
	// measured.
	troubleGap = time.Second
)

// trouble is a period in which state couldn't be reached for some turns. It is safe
// for concurrent use.
type trouble struct {
	now func() time.Time

	mutex sync.Mutex
	// since and last are the times of the first and the newest failure.
	since, last time.Time
}

// pause records a failure and returns how long its client is to wait.
func (t *trouble) pause() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if now.Sub(t.last) > troubleGap {
		t.since = now
	}
	t.last = now
	lasted := now.Sub(t.since)
	return min(max(time.Duration(pauseShare*float64(lasted)), shortestPause), longestPause)
}
