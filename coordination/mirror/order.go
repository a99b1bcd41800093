package mirror

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// OrderByZone returns the addresses of storage nodes in the named node's order of preference: its
// own zone first, then by affinity to its name, so that nodes spread over them. Members
// whose address isn't an IP address and port are left out.
func OrderByZone(zone, name string, members []register.Member) []netip.AddrPort {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(
			compareZones(zone, a, b),
			cmp.Compare(program.Affinity(b.Node, name), program.Affinity(a.Node, name)),
		)
	})
	return parseAddresses(ordered)
}

// OrderByAffinity orders addresses by affinity to the named node, so that nodes spread over them.
func OrderByAffinity(name string, addresses []netip.AddrPort) []netip.AddrPort {
	return slices.SortedFunc(slices.Values(addresses), func(a, b netip.AddrPort) int {
		return cmp.Compare(program.Affinity(b.String(), name), program.Affinity(a.String(), name))
	})
}

// compareZones orders members of the zone before others.
func compareZones(zone string, a, b register.Member) int {
	switch {
	case (a.Zone == zone) == (b.Zone == zone):
		return 0
	case a.Zone == zone:
		return -1
	}
	return 1
}

// parseAddresses returns the addresses of the members, without those that can't be parsed.
func parseAddresses(members []register.Member) []netip.AddrPort {
	parsed := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			parsed = append(parsed, address)
		}
	}
	return parsed
}
