package node

import (
	"slices"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/state/program"
)

// prefers reports whether this node is the one of the live nodes that should
// look after the key. Nothing that must hold rests on it.
func (n *Node) prefers(key string) bool {
	ranked := rank(n.membership.Members().Live(), key)
	return len(ranked) > 0 && ranked[0] == n.settings.Name
}

// reads reports whether this node is one of the few of its zone that should
// read the object API for the key.
func (n *Node) reads(key string) bool {
	var zone []membership.Member
	for _, member := range n.membership.Members().Live() {
		if member.Zone == n.settings.Zone {
			zone = append(zone, member)
		}
	}
	ranked := rank(zone, key)
	return slices.Contains(ranked[:min(readersPerZone, len(ranked))], n.settings.Name)
}

// rank orders the nodes by their affinity to the key, highest first.
func rank(members []membership.Member, key string) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Node)
	}
	slices.SortFunc(names, func(left, right string) int {
		leftScore, rightScore := program.Affinity(left, key), program.Affinity(right, key)
		switch {
		case leftScore > rightScore:
			return -1
		case leftScore < rightScore:
			return 1
		}
		return 0
	})
	return names
}
