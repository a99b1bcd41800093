package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// load is this node's work at one life of an instance. It outlives the sets. It is safe
// for concurrent use.
type load struct {
	outstanding atomic.Int64
	// ended is set once the life is over: how requests end there from then on says
	// nothing of the next one.
	ended atomic.Bool
	// addressLost is set once another instance was found at the address.
	addressLost atomic.Bool

	mutex sync.Mutex
	// expiredAt is when the instance's entry vanished in a lapse; zero while it is
	// there.
	expiredAt time.Time
	// inFlight are the requests of this node there.
	inFlight map[*Choice]struct{}
}

func (l *load) add(c *Choice) {
	l.outstanding.Add(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight == nil {
		l.inFlight = map[*Choice]struct{}{}
	}
	l.inFlight[c] = struct{}{}
}

func (l *load) remove(c *Choice) {
	l.outstanding.Add(-1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.inFlight, c)
}

// isStalled tells that the instance has said nothing about a request of this node for
// longer than the patience with it.
func (l *load) isStalled(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.inFlight {
		if now.Sub(time.Unix(0, c.lastActivity.Load())) > c.stallTimeout {
			return true
		}
	}
	return false
}
