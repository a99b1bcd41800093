package register

import (
	"container/list"
	"sync"
)

// cacheEntry is what a client keeps of a register between two changes.
type cacheEntry struct {
	// counter is the highest ballot counter seen.
	counter uint64
	// epoch is the epoch whose members gave the promise.
	epoch   uint64
	promise Promise
}

// promiseCache is an LRU cache of register entries, safe for concurrent use. Evicting an
// entry is safe: a proposer that starts with a lower counter is refused and learns the
// higher one.
type promiseCache struct {
	limit int

	mutex sync.Mutex
	// order holds cacheItem values, most recently used first.
	order   *list.List
	entries map[registerID]*list.Element
}

type cacheItem struct {
	id    registerID
	entry cacheEntry
}

func newPromiseCache(limit int) *promiseCache {
	return &promiseCache{limit: limit, order: list.New(), entries: make(map[registerID]*list.Element)}
}

// take removes and returns the register's entry, so that a promise is used by one change
// only.
func (c *promiseCache) take(id registerID) cacheEntry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element, found := c.entries[id]
	if !found {
		return cacheEntry{}
	}
	delete(c.entries, id)
	return c.order.Remove(element).(cacheItem).entry
}

// put stores the entry as the most recently used one.
func (c *promiseCache) put(id registerID, entry cacheEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limit <= 0 {
		return
	}
	if c.order.Len() >= c.limit {
		oldest := c.order.Back()
		delete(c.entries, c.order.Remove(oldest).(cacheItem).id)
	}
	c.entries[id] = c.order.PushFront(cacheItem{id: id, entry: entry})
}
