package history

import (
	"container/list"
	"sync"
)

// Cache keeps the chains of the programs that were used last, within a bound of memory. It
// is safe for concurrent use.
//
// A cache can't return an outdated history: a lookup names the head that the program's
// record holds, and a chain that doesn't contain this head isn't returned.
type Cache struct {
	mu sync.Mutex
	// limit and used are in bytes of memory, as Chain.Bytes counts them.
	limit    int
	used     int
	entries  map[string]*list.Element
	recently *list.List // of *cacheEntry, the most recently used first
}

type cacheEntry struct {
	program string
	chain   *Chain
}

// NewCache makes a cache whose chains occupy at most about limit bytes of memory.
func NewCache(limit int) *Cache {
	return &Cache{
		limit:    limit,
		entries:  make(map[string]*list.Element),
		recently: list.New(),
	}
}

// Lookup returns the program's chain up to the head. An empty head names the empty
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
		c.recently.MoveToFront(element)
	}
	return chain, found
}

// Store keeps the chain as the program's newest, in place of an earlier one. It doesn't
// keep a chain that exceeds the limit by itself.
func (c *Cache) Store(program string, chain *Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(program)
	if chain == nil || chain.Bytes() > c.limit {
		return
	}
	c.entries[program] = c.recently.PushFront(&cacheEntry{program: program, chain: chain})
	c.used += chain.Bytes()
	for c.used > c.limit {
		c.remove(c.recently.Back().Value.(*cacheEntry).program)
	}
}

// Bytes returns about how many bytes of memory the kept chains occupy.
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

func (c *Cache) remove(program string) {
	element, found := c.entries[program]
	if !found {
		return
	}
	delete(c.entries, program)
	entry := c.recently.Remove(element).(*cacheEntry)
	c.used -= entry.chain.Bytes()
}
