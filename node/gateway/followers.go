package gateway

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/telemetry"
)

// followers keep this gateway's copies of what the store has.
type followers struct {
	configuration *follow.Follower
	instances     *follow.Follower
	replicaSets   *follow.Follower
	// configurationSource is the way by which the configuration comes.
	configurationSource *mirror.Source
	holders             *mirror.Holders
	// storeCalls counts by kind of objects what this gateway itself asks the store.
	storeCalls *prometheus.CounterVec
	// logger takes which holders are followed, within bounds.
	logger *zap.Logger
}

// createFollowers makes the followers of all kinds. They begin once they are served.
func (g *Gateway) createFollowers() {
	f := &g.followers
	f.holders = mirror.NewHolders(g.orderedHolders, time.Now)
	f.storeCalls = telemetry.NewStoreCalls()
	f.logger = telemetry.Following(g.logger)
	f.configuration, f.configurationSource = g.newFollower(mirror.KindConfiguration, g.parts.Configuration, g.applyConfiguration)
	f.instances, _ = g.newFollower(mirror.KindInstances, g.parts.Instances, g.applyInstances)
	f.replicaSets, _ = g.newFollower(mirror.KindSets, g.parts.Sets, g.storage.lookup.Apply)
}

// newFollower follows the kind through holders where it can; direct is the store itself.
func (g *Gateway) newFollower(kind string, store follow.Source, apply func(follow.Snapshot)) (*follow.Follower, *mirror.Source) {
	plan := newFollowPlan(kind, g.settings)
	if plan.pollInterval > 0 {
		store = follow.Polled(store, plan.pollInterval, time.Now)
	}
	counted := follow.Counted(store, g.followers.storeCalls.WithLabelValues(kind))
	source := mirror.NewSource(kind, counted, g.followers.holders, g.storage.peers, plan.holders, g.followers.logger)
	follower := follow.New(follow.Options{
		Name: kind, Source: source, Settings: plan.calls,
		Apply: apply, Logger: g.logger, Now: time.Now,
	})
	return follower, source
}

// mirrorReader takes over what storage nodes had from the store while it is out of reach of
// this node.
func (g *Gateway) mirrorReader() *mirror.Reader {
	followed := map[string]mirror.Follower{
		mirror.KindConfiguration: g.followers.configuration,
		mirror.KindInstances:     g.followers.instances,
		mirror.KindSets:          g.followers.replicaSets,
	}
	return mirror.NewReader(g.orderedHolders, g.storage.peers, followed, time.Now, g.logger)
}

// orderedHolders lists the storage nodes of all replica sets, those of this gateway's
// zone first; before the sets are known, those that the settings name.
func (g *Gateway) orderedHolders() []netip.AddrPort {
	views := g.storage.lookup.Map()
	if views == nil {
		return mirror.Spread(g.settings.Name, g.settings.Seeds)
	}
	return mirror.Near(g.settings.Zone, g.settings.Name, shard.MembersOf(views.Views()))
}
