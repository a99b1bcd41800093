package turnstore

import (
	"container/list"
	"sync"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// entryOverheadBytes is the estimated memory overhead of an entry in bytes.
const entryOverheadBytes = 256

// cache is an LRU cache of turns. It is safe for concurrent use.
type cache struct {
	// limit and size are in bytes of memory, as computed by memorySize.
	limit int

	mutex sync.Mutex
	size  int
	// order lists the turns, the most recently used first.
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

// put adds the turn and evicts the least recently used ones while the size exceeds the
// limit. The new turn stays even if it alone exceeds the limit.
func (c *cache) put(turn *statev1.RetainedTurn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.entries[turn.GetId()]; found {
		return
	}
	c.entries[turn.GetId()] = c.order.PushFront(turn)
	c.size += memorySize(turn)
	for c.size > c.limit && c.order.Len() > 1 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	element := c.order.Back()
	dropped := c.order.Remove(element).(*statev1.RetainedTurn)
	delete(c.entries, dropped.GetId())
	c.size -= memorySize(dropped)
}

// memorySize estimates the memory that a cached turn takes, in bytes.
func memorySize(turn *statev1.RetainedTurn) int {
	size := entryOverheadBytes + len(turn.GetInput()) + len(turn.GetOutput())
	for _, ancestor := range turn.GetAncestors() {
		size += len(ancestor)
	}
	return size
}
