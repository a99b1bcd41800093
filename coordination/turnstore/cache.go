package turnstore

import (
	"container/list"
	"slices"
	"sync"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

const (
	// entryOverheadBytes is the estimated memory overhead of an entry in bytes.
	entryOverheadBytes = 256
	// stringHeaderBytes is the size of a string without its bytes.
	stringHeaderBytes = 16
)

// cache is an LRU cache of turns. The turns of a line share the list of their ancestors, so that
// the memory of a line grows with its length and not with the square of it. It is safe for
// concurrent use.
type cache struct {
	// limit and size are in bytes of memory, as estimated for each entry.
	limit int

	mutex sync.Mutex
	size  int
	// order lists the entries, the most recently used first.
	order   *list.List
	entries map[string]*list.Element
}

// cached is an entry of the cache.
type cached struct {
	turn *statev1.RetainedTurn
	// line has the ancestors of the turn, and room for those of later turns of its line.
	line []string
	size int
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
	return element.Value.(*cached).turn, true
}

// put adds the turn and evicts the least recently used ones while the size exceeds the
// limit. The new turn stays even if it alone exceeds the limit. Turns of a line are best added
// oldest first.
func (c *cache) put(turn *statev1.RetainedTurn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.entries[turn.GetId()]; found {
		return
	}
	added := c.newEntry(turn)
	c.entries[turn.GetId()] = c.order.PushFront(added)
	c.size += added.size
	for c.size > c.limit && c.order.Len() > 1 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	element := c.order.Back()
	dropped := c.order.Remove(element).(*cached)
	delete(c.entries, dropped.turn.GetId())
	c.size -= dropped.size
}

// newEntry returns an entry for the turn. Its list of ancestors continues that of the turn before
// it if that one is cached. The mutex must be held.
func (c *cache) newEntry(turn *statev1.RetainedTurn) *cached {
	size := entryOverheadBytes + len(turn.GetInput()) + len(turn.GetOutput())
	ancestors := turn.GetAncestors()
	line, isShared := c.continueLine(ancestors)
	if !isShared {
		line = slices.Clone(ancestors)
		size += listSize(ancestors)
	} else {
		size += listSize(ancestors[len(ancestors)-1:])
	}
	return &cached{size: size, line: line, turn: withAncestors(turn, slices.Clip(line))}
}

// withAncestors returns the turn with an equal list of ancestors. Fields that only later builds know
// are kept, since replicas compare turns by their bytes.
func withAncestors(turn *statev1.RetainedTurn, ancestors []string) *statev1.RetainedTurn {
	equal := &statev1.RetainedTurn{
		Id: turn.GetId(), Ancestors: ancestors, Input: turn.GetInput(), Output: turn.GetOutput(),
		RetentionMs: turn.GetRetentionMs(), Tenant: turn.GetTenant(), Route: turn.GetRoute(),
	}
	equal.ProtoReflect().SetUnknown(turn.ProtoReflect().GetUnknown())
	return equal
}

// continueLine returns the ancestors as a list that shares its memory with that of the last one of
// them, if this is cached. The mutex must be held.
func (c *cache) continueLine(ancestors []string) (line []string, isShared bool) {
	if len(ancestors) == 0 {
		return nil, false
	}
	last := len(ancestors) - 1
	element, found := c.entries[ancestors[last]]
	if !found {
		return nil, false
	}
	before := element.Value.(*cached).line
	if !slices.Equal(before, ancestors[:last]) {
		return nil, false
	}
	if cap(before) == last {
		return append(before, ancestors[last]), true
	}
	line = before[:last+1]
	switch line[last] {
	case "":
		line[last] = ancestors[last]
	case ancestors[last]:
	default:
		return nil, false // another turn with the same ancestors has been continued
	}
	return line, true
}

// listSize estimates the memory of a list of ids, in bytes.
func listSize(ids []string) int {
	size := 0
	for _, id := range ids {
		size += stringHeaderBytes + len(id)
	}
	return size
}
