package node

import (
	"sync"

	"github.com/marblering/marblering/coordination/membership"
)

// maxRemembered bounds the names that an ownership remembers.
const maxRemembered = 16384

// ownership remembers, for one snapshot of the membership, which engines this
// node looks after. The polls and the sweep of holds ask of every engine every
// second or two, and each answer compares all live nodes, while the snapshot
// changes only when a node comes, goes or leaves.
type ownership struct {
	mutex   sync.Mutex
	members *membership.Members
	owned   map[string]bool
}

// owns returns what decide says of the name under the snapshot. A decision that
// read a newer snapshot is asked for anew once that one is passed in.
func (o *ownership) owns(members *membership.Members, name string, decide func(name string) bool) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.members != members || len(o.owned) >= maxRemembered {
		o.members = members
		o.owned = make(map[string]bool)
	}
	owned, found := o.owned[name]
	if !found {
		owned = decide(name)
		o.owned[name] = owned
	}
	return owned
}

// ownsEngine is prefers for the name of an engine, remembered.
func (n *Node) ownsEngine(engine string) bool {
	return n.ownership.owns(n.membership.Members(), engine, n.prefers)
}
