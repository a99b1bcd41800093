package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// load is this node's work at one incarnation of an instance. It is carried from one
// snapshot to the next. It is safe for concurrent use.
type load struct {
	outstanding atomic.Int64
	// ended is set once the incarnation is over. Requests that end afterwards don't affect
	// the health of the next one.
	ended atomic.Bool
	// replaced is set once another incarnation of the instance was listed.
	replaced atomic.Bool
	// addressLost is set once another instance was found at its address.
	addressLost atomic.Bool

	mutex sync.Mutex
	// expiredAt is when the instance's entry vanished in a mass expiry; zero while the
	// entry exists.
	expiredAt time.Time
	// inFlight holds this node's requests at the instance.
	inFlight map[*Assignment]struct{}
}

func (l *load) add(a *Assignment) {
	l.outstanding.Add(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight == nil {
		l.inFlight = map[*Assignment]struct{}{}
	}
	l.inFlight[a] = struct{}{}
}

func (l *load) remove(a *Assignment) {
	l.outstanding.Add(-1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.inFlight, a)
}

// isStalled reports whether a request has made no progress for longer than its stall
// timeout.
func (l *load) isStalled(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for a := range l.inFlight {
		if now.Sub(time.Unix(0, a.lastActivity.Load())) > a.stallTimeout {
			return true
		}
	}
	return false
}
