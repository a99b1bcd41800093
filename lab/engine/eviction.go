package engine

import "container/heap"

// lock protects a node and its ancestors from eviction and marks them as used.
func (c *prefixCache) lock(n *node) {
	c.uses++
	for m := n; m != nil; m = m.parent {
		c.count(m, -m.kept)
		m.locks++
		c.count(m, m.kept)
		m.lastUsed = c.uses
	}
	c.place(n)
}

// unlock ends the protection that lock gave.
func (c *prefixCache) unlock(n *node) {
	for m := n; m != nil; m = m.parent {
		c.count(m, -m.kept)
		m.locks--
		c.count(m, m.kept)
	}
	c.place(n)
}

// count adds blocks of a node to the count its state puts them in.
func (c *prefixCache) count(n *node, blocks int) {
	switch {
	case n.locks > 0:
		c.locked += blocks
	case n.holds > 0:
		c.held += blocks
	}
}

// place puts a node into the heap where it belongs: leaves without a lock may
// be evicted. A leaf without blocks is removed.
func (c *prefixCache) place(n *node) {
	if n == nil {
		return
	}
	c.takeOut(n)
	if n.children > 0 || n.locks > 0 {
		return
	}
	if n.kept == 0 {
		c.remove(n)
		return
	}
	n.inHeld = n.holds > 0
	heap.Push(c.heapOf(n), n)
}

func (c *prefixCache) takeOut(n *node) {
	if n.position >= 0 {
		heap.Remove(c.heapOf(n), n.position)
	}
}

func (c *prefixCache) heapOf(n *node) *leafHeap {
	if n.inHeld {
		return &c.heldLeaves
	}
	return &c.leaves
}

// evict frees memory until need blocks are free: least recently used first,
// held contexts only after everything else.
func (c *prefixCache) evict(need int) {
	for c.free() < need {
		leaf := c.nextLeaf()
		if leaf == nil {
			return
		}
		c.grow(leaf, -min(leaf.kept, need-c.free()))
		c.evicted(leaf)
		if leaf.kept == 0 {
			c.place(leaf)
		}
	}
}

func (c *prefixCache) nextLeaf() *node {
	if len(c.leaves) > 0 {
		return c.leaves[0]
	}
	if len(c.heldLeaves) > 0 {
		return c.heldLeaves[0]
	}
	return nil
}

// remove forgets a leaf without blocks. A context held there is held at the
// parent from now on, or not at all.
func (c *prefixCache) remove(n *node) {
	delete(c.nodes, n.key)
	for _, context := range n.heldBy {
		context.node = n.parent
		if n.parent != nil && n.parent.keptEnd() > 0 {
			n.parent.heldBy = append(n.parent.heldBy, context)
			continue
		}
		context.node = nil
		c.unhold(n.parent)
		c.dropped(context)
	}
	n.heldBy = nil
	if n.parent == nil {
		return
	}
	n.parent.children--
	c.place(n.parent)
}

// leafHeap orders leaves by their last use, oldest first.
type leafHeap []*node

func (h leafHeap) Len() int           { return len(h) }
func (h leafHeap) Less(i, j int) bool { return h[i].lastUsed < h[j].lastUsed }

func (h leafHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push is for container/heap.
func (h *leafHeap) Push(item any) {
	leaf := item.(*node)
	leaf.position = len(*h)
	*h = append(*h, leaf)
}

// Pop is for container/heap.
func (h *leafHeap) Pop() any {
	last := len(*h) - 1
	leaf := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	leaf.position = -1
	return leaf
}
