package mirror

import (
	"net/netip"
	"sync"
	"time"
)

// Holders are the storage nodes through which a node follows the store, in its order of
// preference, less those that failed lately. It is safe for concurrent use.
type Holders struct {
	list func() []netip.AddrPort
	now  func() time.Time

	mutex   sync.Mutex
	avoided map[netip.AddrPort]avoidance
}

// NewHolders makes the holders of the list, which may change from call to call.
func NewHolders(list func() []netip.AddrPort, now func() time.Time) *Holders {
	return &Holders{list: list, now: now, avoided: make(map[netip.AddrPort]avoidance)}
}

// pick returns the first holder that isn't avoided.
func (h *Holders) pick() (holder netip.AddrPort, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, holder := range h.list() {
		if h.avoided[holder].isOver(h.now()) {
			return holder, true
		}
	}
	return netip.AddrPort{}, false
}

// isEmpty tells that there are no holders, avoided ones included.
func (h *Holders) isEmpty() bool { return len(h.list()) == 0 }

// failed notes a holder that didn't answer.
func (h *Holders) failed(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided[holder] = h.avoided[holder].unanswered(h.now())
}

// useless notes a holder whose answer is of no use.
func (h *Holders) useless(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided[holder] = h.avoided[holder].useless(h.now())
}

// answered notes a holder whose answer is of use.
func (h *Holders) answered(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.avoided, holder)
}
