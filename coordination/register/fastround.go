package register

import (
	"sync"
	"time"
)

// fastRoundCooldown is how long a shard's rounds begin with a prepare after a fast round
// in which some member didn't answer.
const fastRoundCooldown = 2 * time.Second

// fastRoundGate decides in which shards a change may skip the prepare. A fast round needs
// an answer from every member, so while one is slow or unreachable, each fast round would
// wait for the whole timeout in vain. It is safe for concurrent use.
type fastRoundGate struct {
	timeout time.Duration
	clock   Clock

	mutex sync.Mutex
	// suspended holds the shards in which no change may skip the prepare for now.
	suspended map[uint32]bool
}

func newFastRoundGate(settings Settings, clock Clock) *fastRoundGate {
	return &fastRoundGate{timeout: settings.FastRoundTimeout, clock: clock, suspended: make(map[uint32]bool)}
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

// suspend disables fast rounds in the shard for fastRoundCooldown.
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
