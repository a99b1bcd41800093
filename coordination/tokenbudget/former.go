package tokenbudget

import (
	"sync"
	"time"
)

// formerMembers finds reserves that nobody can ask for: those of nodes that were removed from
// the replica set of a program. It is safe for concurrent use.
type formerMembers struct {
	// isMember reports whether the node is a member of the program's replica set.
	isMember func(program, node string) bool
	// grace is how long a removed node that still runs may take to release a reserve that
	// it doesn't need.
	grace time.Duration
	now   func() time.Time

	mutex sync.Mutex
	// missing maps nodes that aren't members to when a turn was first refused since one of
	// them holds a reserve.
	missing map[string]time.Time
}

// hasLeft reports whether the holder's node was removed from the replica set, and has had
// the time to release its reserve. A node that still runs may use what it has reserved, so
// that it has to be counted as spent.
func (f *formerMembers) hasLeft(program, holder string) bool {
	node, isNamed := nodeOf(holder)
	if !isNamed {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isMember(program, node) {
		delete(f.missing, node)
		return false
	}
	since, isKnown := f.missing[node]
	if !isKnown {
		since = f.now()
		f.missing[node] = since
	}
	return f.now().Sub(since) >= f.grace
}
