package register

import (
	"sync"
	"time"
)

// freshPause is how long a shard's registers begin with a prepare after a member
// didn't accept a fresh change in time.
const freshPause = 2 * time.Second

// freshGate says where changes may skip the prepare. That needs an answer of
// every member: while one is slow or away, each try would cost its patience.
type freshGate struct {
	patience time.Duration
	clock    Clock

	mutex  sync.Mutex
	closed map[uint32]bool
}

func newFreshGate(settings Settings, clock Clock) *freshGate {
	return &freshGate{patience: settings.FreshPatience, clock: clock, closed: make(map[uint32]bool)}
}

// isOpen tells whether the shard's members answered in time lately.
func (g *freshGate) isOpen(shard uint32) bool {
	if g.patience == 0 {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.closed[shard]
}

// close keeps the shard's changes from skipping the prepare for a while.
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
