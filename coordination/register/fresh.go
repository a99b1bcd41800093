package register

import (
	"sync"
	"time"
)

// freshPause is how long a shard's registers begin with a prepare after a member didn't
// accept a fresh change in time (chosen, not measured).
const freshPause = 2 * time.Second

// freshGate says in which shards changes may skip the prepare. A fresh change needs an
// answer of every member, so that while one is slow or away, each would wait for the
// whole patience in vain. It is safe for concurrent use.
type freshGate struct {
	patience time.Duration
	clock    Clock

	mutex sync.Mutex
	// closed are the shards in which no change may skip the prepare for now.
	closed map[uint32]bool
}

func newFreshGate(settings Settings, clock Clock) *freshGate {
	return &freshGate{patience: settings.FreshPatience, clock: clock, closed: make(map[uint32]bool)}
}

// isOpen reports whether changes of the shard's registers may skip the prepare.
func (g *freshGate) isOpen(shard uint32) bool {
	if g.patience == 0 {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.closed[shard]
}

// close keeps the shard's changes from skipping the prepare for freshPause.
func (g *freshGate) close(shard uint32) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed[shard] {
		return
	}
	g.closed[shard] = true
	g.clock.AfterFunc(freshPause, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.closed, shard)
	})
}
