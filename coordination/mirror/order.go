package mirror

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// Near orders storage nodes for the node that has the name: those of its zone first, and
// within a zone in an order of the node's own, so that nodes spread over them. Members
// whose address isn't an IP number and port are left out.
func Near(zone, name string, members []register.Member) []netip.AddrPort {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(
			compareZones(zone, a, b),
			cmp.Compare(program.Affinity(b.Node, name), program.Affinity(a.Node, name)),
		)
	})
	return addresses(ordered)
}

// Spread orders addresses for the node that has the name, in an order of the node's own,
// so that nodes spread over them.
func Spread(name string, listed []netip.AddrPort) []netip.AddrPort {
	return slices.SortedFunc(slices.Values(listed), func(a, b netip.AddrPort) int {
		return cmp.Compare(program.Affinity(b.String(), name), program.Affinity(a.String(), name))
	})
}

// compareZones puts members of the zone first.
func compareZones(zone string, a, b register.Member) int {
	switch {
	case (a.Zone == zone) == (b.Zone == zone):
		return 0
	case a.Zone == zone:
		return -1
	}
	return 1
}

// addresses leaves out what is no address.
func addresses(members []register.Member) []netip.AddrPort {
	found := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			found = append(found, address)
		}
	}
	return found
}
