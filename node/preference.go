package node

import (
	"slices"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/state/program"
)

// prefers tells whether this node, of all live ones, should look after the key. Two
// nodes may both think so for a while: it spreads work and guards nothing.
func (n *Node) prefers(key string) bool {
	_, local := n.owner(key)
	return local
}

// owner returns the address of the node that should look after the name; local is
// set where that is this node.
func (n *Node) owner(name string) (address string, local bool) {
	var best membership.Member
	bestScore := uint64(0)
	for _, member := range n.membership.Members().Live() {
		score := program.Affinity(member.Node, name)
		if best.Node == "" || score > bestScore {
			best, bestScore = member, score
		}
	}
	if best.Node == "" || best.Node == n.settings.Name {
		return "", true
	}
	return best.Address, false
}

// reads tells whether this node is one of the few of its zone that should read the
// object API for the key.
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
