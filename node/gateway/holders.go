package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/program"
)

// setsAge is how long ago the store may have confirmed the replica sets that are
// followed through a storage node. Replicas say themselves when a set has changed.
const setsAge = 30 * time.Second

// followed are the kinds that this gateway follows.
func (g *Gateway) followed() map[string]mirror.Follower {
	return map[string]mirror.Follower{
		mirror.KindConfiguration: g.configuration, mirror.KindInstances: g.instances, mirror.KindSets: g.sets,
	}
}

// throughHolders follows the kind through storage nodes where it can.
func (g *Gateway) throughHolders(kind string, direct follow.Source, maxAge time.Duration) follow.Source {
	return mirror.NewSource(kind, direct, g.holders, g.state.peers, maxAge, g.logger)
}

// holderOrder lists the storage nodes of all replica sets, those of this
// gateway's zone first; within a zone each gateway has an order of its own.
func (g *Gateway) holderOrder() []netip.AddrPort {
	views := g.state.lookup.Map()
	if views == nil {
		return nil
	}
	members := make(map[string]register.Member)
	for _, view := range views.Views() {
		for _, member := range view.Members {
			members[member.Address] = member
		}
	}
	ordered := make([]register.Member, 0, len(members))
	for _, member := range members {
		ordered = append(ordered, member)
	}
	slices.SortFunc(ordered, func(a, b register.Member) int {
		return cmp.Or(
			cmp.Compare(g.distance(a), g.distance(b)),
			-cmp.Compare(program.Affinity(a.Node, g.settings.Name), program.Affinity(b.Node, g.settings.Name)),
		)
	})
	addresses := make([]netip.AddrPort, 0, len(ordered))
	for _, member := range ordered {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (g *Gateway) distance(member register.Member) int {
	if member.Zone == g.settings.Zone {
		return 0
	}
	return 1
}
