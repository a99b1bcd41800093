package mirror

import (
	"net/netip"
	"sync"
	"time"
)

// HolderSelector selects the storage node through which a node follows the store: the first one in
// the order of preference that isn't in backoff. It is safe for concurrent use.
type HolderSelector struct {
	list func() []netip.AddrPort
	now  func() time.Time

	mutex    sync.Mutex
	backoffs map[netip.AddrPort]backoff
}

// NewHolderSelector creates a HolderSelector over the listed addresses, most preferred first. The list may
// change between calls.
func NewHolderSelector(list func() []netip.AddrPort, now func() time.Time) *HolderSelector {
	return &HolderSelector{list: list, now: now, backoffs: make(map[netip.AddrPort]backoff)}
}

// pick returns the first holder that isn't in backoff.
func (h *HolderSelector) pick() (holder netip.AddrPort, found bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, holder := range h.list() {
		if h.backoffs[holder].hasExpired(h.now()) {
			return holder, true
		}
	}
	return netip.AddrPort{}, false
}

// isEmpty reports whether there are no holders at all, with or without backoff.
func (h *HolderSelector) isEmpty() bool { return len(h.list()) == 0 }

// recordFailure puts a holder that didn't answer into backoff.
func (h *HolderSelector) recordFailure(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.backoffs[holder] = h.backoffs[holder].afterFailure(h.now())
}

// recordUnusable puts a holder whose answer can't be used into a short backoff.
func (h *HolderSelector) recordUnusable(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.backoffs[holder] = h.backoffs[holder].afterUnusable(h.now())
}

// recordSuccess ends the backoff of a holder whose answer was used.
func (h *HolderSelector) recordSuccess(holder netip.AddrPort) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.backoffs, holder)
}
