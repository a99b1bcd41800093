package storage

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// maxMirrorWatchGrace is the maximum WatchGrace for mirrored objects: how much longer
	// than the requested wait a watch call at the store may take.
	maxMirrorWatchGrace = 400 * time.Millisecond
	// maxMirrorListReserve is the maximum time that is reserved within the apply limit for
	// gateways to list the objects themselves after a watch call has failed.
	maxMirrorListReserve = 300 * time.Millisecond
	// applyLimitDivisor limits the watch grace and the list reserve, for short apply
	// limits, to the apply limit divided by it.
	applyLimitDivisor = 4
	// mirrorListTimeout limits one listing at the store. A listing that hangs delays all
	// nodes that follow the store through this one.
	mirrorListTimeout = time.Second
	// boundedUpstreamWait is how long another storage node may hold a watch call of this
	// node. It adds to the age of the data that gateways get, which the apply limit
	// bounds.
	boundedUpstreamWait = maxMirrorListReserve
	// storePauseDivisor gives the pause between two direct calls at the store while no
	// upstream storage node is available: the apply limit divided by it. The pause delays
	// the updates of gateways.
	storePauseDivisor = 4
	// For objects that change rarely, relaxedWatchWait is how long the store may hold a
	// watch call, relaxedUpstreamWait how long another storage node may, and relaxedMaxAge
	// the maximum time since the store confirmed an upstream's data.
	relaxedWatchWait    = 10 * time.Second
	relaxedUpstreamWait = 2 * time.Second
	relaxedMaxAge       = 20 * time.Second
	// upstreamUnreachableDelay is how long to wait before asking the store directly while
	// no upstream storage node answers. It allows for upstreams that start at the same
	// time as this node.
	upstreamUnreachableDelay = time.Second
	// upstreamStoreLostDelay is the same while upstreams answer but have lost the store.
	upstreamStoreLostDelay = 2 * time.Second
)

// boundedFollowSettings returns the settings for objects that gateways must apply within
// the apply limit. If this node's connection to the store fails silently, the watch wait,
// its grace and the gateways' own listing together have to fit into that limit.
func boundedFollowSettings(applyLimit time.Duration) follow.Settings {
	result := follow.DefaultSettings()
	result.ListTimeout = mirrorListTimeout
	result.WatchGrace = min(maxMirrorWatchGrace, applyLimit/applyLimitDivisor)
	result.WatchWait = applyLimit - result.WatchGrace - min(maxMirrorListReserve, applyLimit/applyLimitDivisor)
	return result
}

// upstreamFallbackDelays returns how long this node waits for its upstream storage nodes
// before it asks the store directly. The delays are short, since gateways follow the store
// through this node.
func upstreamFallbackDelays() mirror.FallbackDelays {
	return mirror.FallbackDelays{HoldersUnreachable: upstreamUnreachableDelay, StoreLost: upstreamStoreLostDelay}
}

// newBoundedFollower returns a follower of objects that gateways must apply within the
// apply limit. This node itself uses what apply keeps of them.
func (n *Node) newBoundedFollower(kind string, direct follow.Source, apply func(follow.Snapshot)) *follow.Follower {
	sourceSettings := mirror.SourceSettings{
		HolderWait: boundedUpstreamWait, MaxHolderAge: n.settings.ApplyLimit,
		FallbackDelays: upstreamFallbackDelays(), StorePause: n.settings.ApplyLimit / storePauseDivisor,
	}
	followSettings := boundedFollowSettings(n.settings.ApplyLimit)
	if kind == mirror.KindConfiguration && n.settings.RevokeLimit > 0 {
		interval := mirror.ProofInterval(n.settings.RevokeLimit)
		direct = follow.NewPollingSource(direct, interval, time.Now)
		followSettings.WatchWait, followSettings.MaxBackoff = interval, mirror.MaxProofRetryPause
		// Polling already paces the calls at the store.
		sourceSettings.FallbackDelays.StoreLost, sourceSettings.StorePause = interval, 0
	}
	return n.newMirroredFollower(kind, direct, followSettings, sourceSettings, func(snapshot follow.Snapshot) {
		n.mirror.Update(kind, snapshot)
		apply(snapshot)
	})
}

// newRelaxedFollower returns a follower of objects that change rarely and that the apply
// limit doesn't cover.
func (n *Node) newRelaxedFollower(kind string, direct follow.Source, apply func(follow.Snapshot)) *follow.Follower {
	followSettings := follow.DefaultSettings()
	followSettings.WatchWait = relaxedWatchWait
	sourceSettings := mirror.SourceSettings{
		HolderWait: relaxedUpstreamWait, MaxHolderAge: relaxedMaxAge,
		FallbackDelays: upstreamFallbackDelays(), StorePause: relaxedUpstreamWait,
	}
	return n.newMirroredFollower(kind, direct, followSettings, sourceSettings, func(snapshot follow.Snapshot) {
		apply(snapshot)
		n.mirror.Update(kind, snapshot)
	})
}

// newMirroredFollower returns a follower of a kind of objects that other nodes follow
// through this node. Only a few storage nodes watch the store directly; the others use
// them as upstreams.
func (n *Node) newMirroredFollower(kind string, direct follow.Source, followSettings follow.Settings, sourceSettings mirror.SourceSettings, apply func(follow.Snapshot)) *follow.Follower {
	counted := follow.NewCountingSource(direct, n.storeCalls.WithLabelValues(kind))
	follower := follow.New(follow.Options{
		Name: kind, Settings: followSettings, Logger: n.logger, Now: time.Now,
		Source: mirror.NewSource(kind, counted, n.upstreams, n.peers, sourceSettings, n.limitedLogger),
		Apply:  apply,
		OnLost: func() { n.mirror.NotifyLost(kind) },
	})
	n.mirror.SetUpstream(kind, follower)
	return follower
}

// listUpstreams returns the addresses of the upstream storage nodes through which this
// node follows the store.
func (n *Node) listUpstreams() []netip.AddrPort {
	return mirror.Upstreams(n.self, shard.MembersOf(n.views.Views()), n.settings.Seeds)
}
