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
	// gone is set once another instance was found at the address.
	gone atomic.Bool

	mutex sync.Mutex
	// lapsedAt is when the instance's entry vanished in a lapse; zero while it is
	// there.
	lapsedAt time.Time
	// waiting are the requests of this node there.
	waiting map[*Choice]struct{}
}

func (l *load) add(c *Choice) {
	l.outstanding.Add(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.waiting == nil {
		l.waiting = map[*Choice]struct{}{}
	}
	l.waiting[c] = struct{}{}
}

func (l *load) remove(c *Choice) {
	l.outstanding.Add(-1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.waiting, c)
}

// stalled tells that the instance has said nothing about a request of this node for
// longer than the patience with it.
func (l *load) stalled(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.waiting {
		if now.Sub(time.Unix(0, c.heard.Load())) > c.patience {
			return true
		}
	}
	return false
}
