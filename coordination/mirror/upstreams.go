package mirror

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/marblering/marblering/coordination/register"
)

const (
	// minDirectNodes is the minimum number of storage nodes that follow the store directly:
	// one more than the two that may be lost at once.
	minDirectNodes = 3
	// membersPerDirectNode limits the members per direct node, itself included, and thereby
	// the calls of their followers to it: each member holds two calls of 0.3 s and three of
	// 2 s there, 8 a second.
	membersPerDirectNode = 16
)

// Upstreams returns the storage nodes through which a storage node follows the store, those
// of its own zone first; none for a node that follows the store directly. Before any member
// is known the seeds take the place of members.
//
// Only a few nodes follow the store directly, to limit its load: their calls end every few
// seconds even if nothing has changed.
func Upstreams(self register.Member, members []register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	if len(members) == 0 {
		return seedUpstreams(self, seeds)
	}
	direct := directMembers(members)
	isSelf := func(member register.Member) bool { return member.Node == self.Node }
	if slices.ContainsFunc(direct, isSelf) {
		return nil
	}
	return OrderByZone(self.Zone, self.Node, direct)
}

// directMembers chooses the members that follow the store directly, from as many zones as
// possible. All nodes that know the same members choose the same.
func directMembers(members []register.Member) []register.Member {
	ordered := interleaveZones(members)
	count := max(minDirectNodes, (len(members)+membersPerDirectNode-1)/membersPerDirectNode)
	return ordered[:min(len(ordered), count)]
}

// interleaveZones orders members by name, with the first member of each zone before the
// second of any.
func interleaveZones(members []register.Member) []register.Member {
	byName := slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
		return strings.Compare(a.Node, b.Node)
	})
	countByZone := make(map[string]int)
	rank := make(map[string]int, len(byName))
	for _, member := range byName {
		rank[member.Node] = countByZone[member.Zone]
		countByZone[member.Zone]++
	}
	slices.SortStableFunc(byName, func(a, b register.Member) int {
		return cmp.Compare(rank[a.Node], rank[b.Node])
	})
	return byName
}

// seedUpstreams returns the seeds as upstreams, and none for the seeds themselves.
func seedUpstreams(self register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	for _, seed := range seeds {
		if seed.String() == self.Address {
			return nil
		}
	}
	return OrderByAffinity(self.Node, seeds)
}
