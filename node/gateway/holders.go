package gateway

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// holderWait is how long a storage node may hold a gateway's call.
	holderWait = time.Second
	// leastWatchWait is the shortest time for which the store is asked to hold one.
	leastWatchWait = 500 * time.Millisecond
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
	bounds := mirror.SourceSettings{Wait: holderWait, MaxAge: maxAge}
	return mirror.NewSource(kind, direct, g.holders, g.state.peers, bounds, g.logger)
}

// holderOrder lists the storage nodes of all replica sets, those of this gateway's
// zone first; before the sets are known, those that the settings name.
func (g *Gateway) holderOrder() []netip.AddrPort {
	views := g.state.lookup.Map()
	if views == nil {
		return mirror.Spread(g.settings.Name, g.settings.Seeds)
	}
	return mirror.Near(g.settings.Zone, g.settings.Name, shard.MembersOf(views.Views()))
}

// isCertain tells whether the configuration in force is surely the newest but
// for what changed within the time of one held call.
func (g *Gateway) isCertain() bool {
	age, heard := g.configuration.Age()
	return heard && age < watchWait(g.settings.UndisturbedTime)+2*watchSlack
}

// watchWait is how long the store may hold a gateway's call. A call that hangs
// since the store or the way to it was disturbed has to be noticed, and the
// objects listed anew, by the time that this has passed for as long as makes the
// gateway answerable for what was changed meanwhile.
func watchWait(undisturbed time.Duration) time.Duration {
	return max(leastWatchWait, undisturbed/2, undisturbed-watchSlack-relistTime)
}
