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

// followers keep the copies of objects in the store up to date.
type followers struct {
	configuration *follow.Follower
	instances     *follow.Follower
	replicaSets   *follow.Follower
	// configurationSource is the source of the follower of the configuration.
	configurationSource *mirror.Source
	holders             *mirror.HolderSelector
	// storeCalls counts the direct calls of this gateway to the store, by kind of object.
	storeCalls *prometheus.CounterVec
	// logger logs which holders are used; it is rate-limited.
	logger *zap.Logger
}

// createFollowers creates the followers of all kinds of objects without starting them.
func (g *Gateway) createFollowers() {
	f := &g.followers
	f.holders = mirror.NewHolderSelector(g.orderedHolders, time.Now)
	f.storeCalls = telemetry.NewStoreCallsCounter()
	f.logger = telemetry.RateLimitedForFollowers(g.logger)
	f.configuration, f.configurationSource = g.newFollower(mirror.KindConfiguration, g.dependencies.Configuration, g.applyConfiguration)
	f.instances, _ = g.newFollower(mirror.KindInstances, g.dependencies.Instances, g.applyInstances)
	f.replicaSets, _ = g.newFollower(mirror.KindReplicaSets, g.dependencies.ReplicaSets, g.storage.lookup.Apply)
}

// newFollower creates a follower that asks holders first and falls back to the store.
func (g *Gateway) newFollower(kind string, store follow.Source, apply func(follow.Snapshot)) (*follow.Follower, *mirror.Source) {
	plan := newFollowPlan(kind, g.settings)
	if plan.pollInterval > 0 {
		store = follow.NewPollingSource(store, plan.pollInterval, time.Now)
	}
	counted := follow.NewCountingSource(store, g.followers.storeCalls.WithLabelValues(kind))
	source := mirror.NewSource(kind, counted, g.followers.holders, g.storage.peers, plan.holders, g.followers.logger)
	follower := follow.New(follow.Options{
		Name: kind, Source: source, Settings: plan.calls,
		Apply: apply, Logger: g.logger, Now: time.Now,
	})
	return follower, source
}

// mirrorReader returns the service that offers the snapshots of storage nodes to the
// followers while this gateway cannot reach the store.
func (g *Gateway) mirrorReader() *mirror.CopyReader {
	followed := map[string]mirror.Follower{
		mirror.KindConfiguration: g.followers.configuration,
		mirror.KindInstances:     g.followers.instances,
		mirror.KindReplicaSets:   g.followers.replicaSets,
	}
	return mirror.NewReader(g.orderedHolders, g.storage.peers, followed, time.Now, g.logger)
}

// orderedHolders returns the storage nodes of all replica sets, those in the zone of this
// gateway first, or the configured seeds until the replica sets are known.
func (g *Gateway) orderedHolders() []netip.AddrPort {
	views := g.storage.lookup.Map()
	if views == nil {
		return mirror.OrderByAffinity(g.settings.Name, g.settings.Seeds)
	}
	return mirror.OrderByZone(g.settings.Zone, g.settings.Name, shard.MembersOf(views.Views()))
}
