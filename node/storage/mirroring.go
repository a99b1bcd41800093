package storage

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// mirrorSlack is how much longer than its wait the store may take to answer a
	// held call about what is mirrored. After that, mirrorRest of the time in which
	// a configuration must be in force is left for gateways to list themselves.
	mirrorSlack = 400 * time.Millisecond
	mirrorRest  = 300 * time.Millisecond
	// mirrorListTimeout bounds a listing at the store: one that hangs since before
	// the store's return keeps back everybody who follows through this node.
	mirrorListTimeout = time.Second
	// upstreamWait is how long another storage node may hold a call of this one. It
	// adds to the age of what gateways are told, which the apply limit bounds.
	upstreamWait = mirrorRest
	// storePauseParts of the apply limit is the pause between calls at the store itself
	// while the nodes that this one follows it through are gone. What gateways hear
	// through this node is late by as much.
	storePauseParts = 4
	// seldomWait is how long the store, and seldomUpstreamWait how long another
	// storage node may hold a call about what changes seldom; seldomAge is how long
	// ago the store may have confirmed it.
	seldomWait         = 10 * time.Second
	seldomUpstreamWait = 2 * time.Second
	seldomAge          = 20 * time.Second
)

// mirrorBounds are those of following what gateways follow through this node.
// The way of this node alone to the store may fail silently, while gateways have
// theirs and are bound by the limit: all of it has to be noticed within the limit.
func mirrorBounds(applyLimit time.Duration) follow.Settings {
	bounds := follow.DefaultSettings()
	bounds.ListTimeout = mirrorListTimeout
	bounds.WatchSlack = min(mirrorSlack, applyLimit/4)
	bounds.WatchWait = applyLimit - bounds.WatchSlack - min(mirrorRest, applyLimit/4)
	return bounds
}

// upstreamPatience is how long a storage node does without the store where those
// that it follows it through fail: gateways follow through it in turn. Where all
// nodes start together it outlasts the time until those have started, 0.3 s, and
// until they are asked again.
func upstreamPatience() mirror.Patience {
	return mirror.Patience{Unreached: time.Second, Lost: 2 * time.Second}
}

// mirroring follows what gateways follow through this node.
func (n *Node) mirroring(kind string, direct follow.Source) *follow.Follower {
	through := mirror.SourceSettings{
		Wait: upstreamWait, MaxAge: n.settings.ApplyLimit,
		Patience: upstreamPatience(), StorePause: n.settings.ApplyLimit / storePauseParts,
	}
	bounds := mirrorBounds(n.settings.ApplyLimit)
	if kind == mirror.KindConfiguration && n.settings.RevokeLimit > 0 {
		interval := mirror.ProofInterval(n.settings.RevokeLimit)
		direct = follow.Polled(direct, interval, time.Now)
		bounds.WatchWait, bounds.MaxPause = interval, mirror.ProofPause
		// The store is polled, which paces its calls already.
		through.Patience.Lost, through.StorePause = interval, 0
	}
	keep := func(snapshot follow.Snapshot) { n.mirror.Keep(kind, snapshot) }
	return n.passingOn(kind, direct, bounds, through, keep)
}

// seldom follows what changes seldom and isn't due within the apply limit.
func (n *Node) seldom(kind string, direct follow.Source, apply func(follow.Snapshot)) *follow.Follower {
	bounds := follow.DefaultSettings()
	bounds.WatchWait = seldomWait
	through := mirror.SourceSettings{
		Wait: seldomUpstreamWait, MaxAge: seldomAge,
		Patience: upstreamPatience(), StorePause: seldomUpstreamWait,
	}
	return n.passingOn(kind, direct, bounds, through, func(snapshot follow.Snapshot) {
		apply(snapshot)
		n.mirror.Keep(kind, snapshot)
	})
}

// passingOn follows a kind and lets others follow it through this node. Only a few
// storage nodes ask the store; the others follow it through them.
func (n *Node) passingOn(kind string, direct follow.Source, bounds follow.Settings, through mirror.SourceSettings, apply func(follow.Snapshot)) *follow.Follower {
	counted := follow.Counted(direct, n.storeCalls.WithLabelValues(kind))
	follower := follow.New(follow.Options{
		Name: kind, Settings: bounds, Logger: n.logger, Now: time.Now,
		Source: mirror.NewSource(kind, counted, n.upstreams, n.peers, through, n.following),
		Apply:  apply,
		Lost:   func() { n.mirror.Lost(kind) },
	})
	n.mirror.Through(kind, follower)
	return follower
}

// listUpstreams lists the storage nodes that this one follows the store through.
func (n *Node) listUpstreams() []netip.AddrPort {
	return mirror.Upstreams(n.self, shard.MembersOf(n.views.Views()), n.settings.Seeds)
}
