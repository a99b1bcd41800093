package turnstore

import (
	"container/list"
	"sync"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// entryBytes is about how many bytes of memory an entry takes beside its texts
// (estimated, not measured).
const entryBytes = 256

// cache keeps the turns that were used last. It is safe for concurrent use.
type cache struct {
	// limit and size are in bytes of memory, by sizeOf.
	limit int

	mutex sync.Mutex
	size  int
	// order holds turns, the one used last first.
	order   *list.List
	entries map[string]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), entries: make(map[string]*list.Element)}
}

func (c *cache) get(id string) (*statev1.RetainedTurn, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element, found := c.entries[id]
	if !found {
		return nil, false
	}
	c.order.MoveToFront(element)
	return element.Value.(*statev1.RetainedTurn), true
}

// put adds the turn and drops the oldest ones beyond the limit. The newest turn stays,
// also where it alone exceeds the limit.
func (c *cache) put(whole *statev1.RetainedTurn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.entries[whole.GetId()]; found {
		return
	}
	c.entries[whole.GetId()] = c.order.PushFront(whole)
	c.size += sizeOf(whole)
	for c.size > c.limit && c.order.Len() > 1 {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	element := c.order.Back()
	dropped := c.order.Remove(element).(*statev1.RetainedTurn)
	delete(c.entries, dropped.GetId())
	c.size -= sizeOf(dropped)
}

func sizeOf(whole *statev1.RetainedTurn) int {
	size := entryBytes + len(whole.GetInput()) + len(whole.GetOutput())
	for _, ancestor := range whole.GetAncestors() {
		size += len(ancestor)
	}
	return size
}
