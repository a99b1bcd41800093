package engine

import (
	"slices"
	"strings"
	"time"
)

// heldContext is the context of a program that is evicted after all else.
type heldContext struct {
	program string
	root    rootName
	node    *node
}

// HeldContext is what an engine keeps for a program.
type HeldContext struct {
	Program string
	Tokens  int
}

// attach holds a context at a node.
func (c *prefixCache) attach(context *heldContext, n *node) {
	context.node = n
	n.heldBy = append(n.heldBy, context)
	for m := n; m != nil; m = m.parent {
		c.count(m, -m.kept)
		m.holds++
		c.count(m, m.kept)
	}
	c.place(n)
}

// detach ends a hold. What it held stays cached as anything else.
func (c *prefixCache) detach(context *heldContext) {
	n := context.node
	context.node = nil
	if n == nil {
		return
	}
	n.heldBy = slices.DeleteFunc(n.heldBy, func(other *heldContext) bool { return other == context })
	c.unhold(n)
	c.place(n)
}

// unhold takes one hold off a node and its ancestors.
func (c *prefixCache) unhold(n *node) {
	for m := n; m != nil; m = m.parent {
		c.count(m, -m.kept)
		m.holds--
		c.count(m, m.kept)
	}
}

// hold makes the context that ends at a node the one held for a program.
func (c *Core) hold(program string, root rootName, n *node) {
	if previous := c.holds[program]; previous != nil {
		delete(c.holds, program)
		c.cache.detach(previous)
	}
	if n == nil {
		return
	}
	context := &heldContext{program: program, root: root}
	c.holds[program] = context
	c.cache.attach(context, n)
}

// Release ends the hold of a program. Requests and imports that are under way
// won't hold its context either.
func (c *Core) Release(now time.Duration, program string) {
	c.run(now)
	for _, job := range c.jobs {
		if job.Program == program {
			job.Hold = false
		}
	}
	c.hold(program, rootName{}, nil)
}

// Holds lists the held contexts in order of the programs' names.
func (c *Core) Holds(now time.Duration) []HeldContext {
	c.run(now)
	list := make([]HeldContext, 0, len(c.holds))
	for program, context := range c.holds {
		list = append(list, HeldContext{Program: program, Tokens: context.node.keptEnd()})
	}
	slices.SortFunc(list, func(a, b HeldContext) int { return strings.Compare(a.Program, b.Program) })
	return list
}
