package mirror

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/marblering/marblering/coordination/register"
)

const (
	// leastAskers is how many storage nodes ask the store at least. It is one more than
	// may be lost at once (two), so that one is left.
	leastAskers = 3
	// membersPerAsker bounds the nodes that follow through one that asks. Each holds two
	// calls of 0.3 s and three of 2 s there, 8 calls a second; 15 of them come to 120 a
	// second (counted from the waits, not measured).
	membersPerAsker = 16
)

// Upstreams returns the storage nodes through which a storage node follows the store,
// those of its own zone first; none for a node that asks the store itself. Before any
// member is known the seeds take the place of members.
//
// Only few ask the store, since each call is work for it, and held calls end every few
// seconds though nothing has changed. With three such nodes in place of one in each of
// five zones the quiet start of 36 storage nodes costs the store 84 to 92 calls in place
// of 140 (virtual time, one kind, 140 instances that register).
func Upstreams(self register.Member, members []register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	if len(members) == 0 {
		return seedUpstreams(self, seeds)
	}
	asking := askers(members)
	isSelf := func(member register.Member) bool { return member.Node == self.Node }
	if slices.ContainsFunc(asking, isSelf) {
		return nil
	}
	return Near(self.Zone, self.Node, asking)
}

// askers chooses the members that ask the store, from as many zones as it can. All
// nodes that know the same members choose the same.
func askers(members []register.Member) []register.Member {
	ordered := alternateZones(members)
	wanted := max(leastAskers, (len(members)+membersPerAsker-1)/membersPerAsker)
	return ordered[:min(len(ordered), wanted)]
}

// alternateZones orders members by name so that the first of each zone come before
// the second of any.
func alternateZones(members []register.Member) []register.Member {
	byName := slices.SortedFunc(slices.Values(members), func(a, b register.Member) int {
		return strings.Compare(a.Node, b.Node)
	})
	seen := make(map[string]int)
	rank := make(map[string]int, len(byName))
	for _, member := range byName {
		rank[member.Node] = seen[member.Zone]
		seen[member.Zone]++
	}
	slices.SortStableFunc(byName, func(a, b register.Member) int {
		return cmp.Compare(rank[a.Node], rank[b.Node])
	})
	return byName
}

// seedUpstreams leaves the seeds to ask the store themselves.
func seedUpstreams(self register.Member, seeds []netip.AddrPort) []netip.AddrPort {
	for _, seed := range seeds {
		if seed.String() == self.Address {
			return nil
		}
	}
	return Spread(self.Node, seeds)
}
