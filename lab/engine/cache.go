package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a cache block. Memory is given out in whole blocks
// and a prefix is reused in whole blocks.
const BlockTokens = 16

// Segment is a run of tokens that is shared as a whole: a system prompt, a
// message, an answer. Two prompts share the cache up to the first segment in
// which they differ.
type Segment struct {
	// ID stands for the content: equal content, equal ID.
	ID     uint64
	Tokens int
}

// node is the cached part of one segment, at one place of one chain of
// segments. The nodes form a radix tree (Zheng et al., SGLang: Efficient
// Execution of Structured Language Model Programs, 2024) whose keys are chained
// hashes, so that a node is found without its parents.
type node struct {
	key     uint64
	segment Segment
	parent  *node
	// depth counts the segments of the chain up to this one.
	depth int
	// start and end are the positions of the segment in the chain, in tokens.
	start, end int
	// kept is how many of the node's blocks are in memory, from its start on.
	// A node with children is whole.
	kept     int
	children int
	// locks and holds count the claims and the held contexts at this node or
	// below it.
	locks, holds int
	heldBy       []*heldContext
	// program is the one that stored the node's last blocks.
	program  string
	lastUsed uint64
	// position is the index in the heap of leaves, -1 where it is in none.
	position int
	inHeld   bool
}

// blocks is the number of whole blocks that end inside the segment.
func (n *node) blocks() int {
	return n.end/BlockTokens - n.start/BlockTokens
}

// keptEnd is the position up to which the chain is in memory.
func (n *node) keptEnd() int {
	return (n.start/BlockTokens + n.kept) * BlockTokens
}

// prefixCache is the KV memory of an engine. Every block is free, cached in a
// node, or private to a claim.
type prefixCache struct {
	limit   int
	nodes   map[uint64]*node
	cached  int
	private int
	// locked counts the cached blocks that a claim protects, held the others
	// that a held context favours.
	locked int
	held   int
	uses   uint64
	// leaves and heldLeaves are the nodes that may be evicted next.
	leaves     leafHeap
	heldLeaves leafHeap
	// evicted is called after blocks of a node were dropped.
	evicted func(*node)
	// dropped is called when nothing of a held context is left.
	dropped func(*heldContext)
}

func newPrefixCache(limitTokens int) *prefixCache {
	return &prefixCache{
		limit:   limitTokens / BlockTokens,
		nodes:   make(map[uint64]*node),
		evicted: func(*node) {},
		dropped: func(*heldContext) {},
	}
}

func (c *prefixCache) used() int {
	return c.cached + c.private
}

func (c *prefixCache) free() int {
	return c.limit - c.used()
}

// chainKey is the key of a segment after the chain with the key parent.
func chainKey(parent uint64, segment Segment) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], parent)
	binary.LittleEndian.PutUint64(buffer[8:], segment.ID)
	binary.LittleEndian.PutUint64(buffer[16:], uint64(segment.Tokens))
	return xxhash.Sum64(buffer[:])
}

// match returns the deepest cached node of a path, or nil.
func (c *prefixCache) match(root uint64, path []Segment) *node {
	var deepest *node
	key := root
	for _, segment := range path {
		key = chainKey(key, segment)
		found := c.nodes[key]
		if found == nil {
			break
		}
		deepest = found
		if found.kept < found.blocks() {
			break
		}
	}
	return deepest
}

// claim is memory in use by one request or import: the cached prefix it has
// locked and the blocks of its own.
type claim struct {
	node    *node
	private int
}

// acquire claims memory for total tokens whose prompt is path, and reports how
// many tokens of the prompt needn't be computed. It changes nothing where the
// memory doesn't suffice even after eviction.
func (c *prefixCache) acquire(root uint64, path []Segment, promptTokens, total int) (taken claim, cachedTokens int, ok bool) {
	deepest := c.match(root, path)
	if deepest != nil {
		cachedTokens = deepest.keptEnd()
	}
	// The last prompt token is always computed: its output is the first token.
	cachedTokens = max(0, min(cachedTokens, (promptTokens-1)/BlockTokens*BlockTokens))
	need := (total+BlockTokens-1)/BlockTokens - cachedTokens/BlockTokens
	c.lock(deepest)
	if need > c.free()+c.cached-c.locked {
		c.unlock(deepest)
		return claim{}, 0, false
	}
	c.evict(need)
	c.private += need
	return claim{node: deepest, private: need}, cachedTokens, true
}

// commit moves the blocks of path from the claim's own into the shared tree and
// locks them there.
func (c *prefixCache) commit(taken *claim, root uint64, path []Segment, program string) {
	before := c.cached
	deepest := c.store(taken.node, root, path, program)
	stored := c.cached - before
	taken.private -= stored
	c.private -= stored
	c.lock(deepest)
	c.unlock(taken.node)
	taken.node = deepest
}

// giveBack ends a claim. What was committed stays cached until it is evicted.
func (c *prefixCache) giveBack(taken claim) {
	c.private -= taken.private
	c.unlock(taken.node)
}

// store makes sure that all whole blocks of path are cached, and returns the
// deepest node that holds any. It starts at a node of the path that is locked,
// or at the root where that is nil. The caller has the memory.
func (c *prefixCache) store(locked *node, root uint64, path []Segment, program string) *node {
	length := 0
	for _, segment := range path {
		length += segment.Tokens
	}
	// Segments after the last whole block have nothing to keep.
	wholeTokens := length / BlockTokens * BlockTokens
	parent := locked
	key := root
	start := 0
	if locked != nil {
		c.fill(locked, program)
		path = path[locked.depth:]
		key = locked.key
		start = locked.end
	}
	for _, segment := range path {
		if start >= wholeTokens {
			break
		}
		key = chainKey(key, segment)
		found := c.nodes[key]
		if found == nil {
			found = c.add(key, segment, parent, start)
		}
		c.fill(found, program)
		parent = found
		start = found.end
	}
	return parent
}

// fill puts all blocks of a node into memory.
func (c *prefixCache) fill(n *node, program string) {
	missing := n.blocks() - n.kept
	if missing > 0 {
		c.grow(n, missing)
		n.program = program
	}
}

func (c *prefixCache) add(key uint64, segment Segment, parent *node, start int) *node {
	added := &node{key: key, segment: segment, parent: parent, start: start, end: start + segment.Tokens, position: -1}
	added.depth = 1
	c.nodes[key] = added
	if parent != nil {
		added.depth = parent.depth + 1
		parent.children++
		c.place(parent)
	}
	return added
}

// grow changes how many blocks of a node are in memory.
func (c *prefixCache) grow(n *node, blocks int) {
	n.kept += blocks
	c.cached += blocks
	c.count(n, blocks)
}
