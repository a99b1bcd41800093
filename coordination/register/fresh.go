package register

import (
	"sync"
	"time"
)

// fastRoundCooldown is how long a shard's registers begin with a prepare after a member didn't
// accept a fresh change in time (chosen, not measured).
const fastRoundCooldown = 2 * time.Second

// fastRoundGate says in which shards changes may skip the prepare. A fresh change needs an
// answer of every member, so that while one is slow or away, each would wait for the
// whole patience in vain. It is safe for concurrent use.
type fastRoundGate struct {
	timeout time.Duration
	clock    Clock

	mutex sync.Mutex
	// suspended are the shards in which no change may skip the prepare for now.
	suspended map[uint32]bool
}

func newFastRoundGate(settings Settings, clock Clock) *fastRoundGate {
	return &fastRoundGate{timeout: settings.FreshPatience, clock: clock, suspended: make(map[uint32]bool)}
}

// allows reports whether changes of the shard's registers may skip the prepare.
func (g *fastRoundGate) allows(shard uint32) bool {
	if g.timeout == 0 {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.suspended[shard]
}

// suspend keeps the shard's changes from skipping the prepare for freshPause.
func (g *fastRoundGate) suspend(shard uint32) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.suspended[shard] {
		return
	}
	g.suspended[shard] = true
	g.clock.AfterFunc(fastRoundCooldown, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.suspended, shard)
	})
}
