package history

import (
	"container/list"
	"sync"
)

// Cache is an LRU cache of chains, one for each program, with a memory limit. It is safe
// for concurrent use.
//
// A lookup never returns an outdated history: the caller passes the head from the program's
// record, and a chain that doesn't contain it isn't returned.
type Cache struct {
	mu sync.Mutex
	// limitBytes and used count memory as Chain.Bytes does.
	limitBytes int
	usedBytes  int
	entries    map[string]*list.Element
	recency    *list.List // of *cacheEntry, most recently used first
}

type cacheEntry struct {
	program string
	chain   *Chain
}

// NewCache returns an empty cache whose chains occupy at most about limit bytes of memory.
func NewCache(limit int) *Cache {
	return &Cache{
		limitBytes: limit,
		entries:    make(map[string]*list.Element),
		recency:    list.New(),
	}
}

// Lookup returns the program's chain up to the head. An empty head stands for the empty
// history, which is always found.
func (c *Cache) Lookup(program string, head []byte) (chain *Chain, found bool) {
	if len(head) == 0 {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	element, found := c.entries[program]
	if !found {
		return nil, false
	}
	chain, found = element.Value.(*cacheEntry).chain.upTo(head)
	if found {
		c.recency.MoveToFront(element)
	}
	return chain, found
}

// Store replaces the program's cached chain and evicts the least recently used chains that
// no longer fit. A chain larger than the whole cache isn't stored.
func (c *Cache) Store(program string, chain *Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(program)
	if chain == nil || chain.Bytes() > c.limitBytes {
		return
	}
	c.entries[program] = c.recency.PushFront(&cacheEntry{program: program, chain: chain})
	c.usedBytes += chain.Bytes()
	for c.usedBytes > c.limitBytes {
		c.remove(c.recency.Back().Value.(*cacheEntry).program)
	}
}

// Bytes returns the approximate memory size of the cached chains.
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedBytes
}

func (c *Cache) remove(program string) {
	element, found := c.entries[program]
	if !found {
		return
	}
	delete(c.entries, program)
	entry := c.recency.Remove(element).(*cacheEntry)
	c.usedBytes -= entry.chain.Bytes()
}
