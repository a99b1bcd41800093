package storage

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	// mirrorSlack is how much longer than its wait the store may take to answer a held
	// call about what is mirrored. Chosen, not measured.
	mirrorSlack = 400 * time.Millisecond
	// mirrorRest is the part of the apply limit that is left after such a call has
	// failed, for gateways to list the objects themselves. Chosen, not measured.
	mirrorRest = 300 * time.Millisecond
	// mirrorParts bounds mirrorSlack and mirrorRest where the apply limit is short: each
	// is at most this fraction of it. Chosen, not measured.
	mirrorParts = 4
	// mirrorListTimeout bounds a listing at the store: one that hangs since before the
	// store's return holds up everybody who follows through this node. Chosen, not
	// measured.
	mirrorListTimeout = time.Second
	// upstreamWait is how long another storage node may hold a call of this one. It
	// adds to the age of what gateways are told, which the apply limit bounds.
	upstreamWait = mirrorRest
	// storePauseParts is the fraction of the apply limit that lies between two calls at
	// the store itself while the storage nodes that this one follows the store through
	// are gone. What gateways are told through this node is late by as much. Chosen,
	// not measured.
	storePauseParts = 4
	// seldomWait is how long the store may hold a call about what changes seldom,
	// seldomUpstreamWait how long another storage node may, and seldomAge how long ago
	// the store may have confirmed it. Chosen, not measured.
	seldomWait         = 10 * time.Second
	seldomUpstreamWait = 2 * time.Second
	seldomAge          = 20 * time.Second
	// upstreamPatience is how long a storage node does without the store while no
	// storage node that it follows it through answers. Where all nodes start together it
	// outlasts the 0.3 s until those have started, and the time until they are asked
	// again. Chosen, not measured.
	upstreamPatience = time.Second
	// upstreamLostPatience is the same while they answer and have lost the store.
	// Chosen, not measured.
	upstreamLostPatience = 2 * time.Second
)

// mirrorBounds returns the bounds of following what gateways follow through this node.
// This node's way to the store may fail silently while gateways could reach the store and
// are bound by the apply limit. So a wait, its slack and the rest together fit into it.
func mirrorBounds(applyLimit time.Duration) follow.Settings {
	bounds := follow.DefaultSettings()
	bounds.ListTimeout = mirrorListTimeout
	bounds.WatchSlack = min(mirrorSlack, applyLimit/mirrorParts)
	bounds.WatchWait = applyLimit - bounds.WatchSlack - min(mirrorRest, applyLimit/mirrorParts)
	return bounds
}

// throughUpstreams returns the patience with the storage nodes that this one follows the
// store through. It is short, since gateways follow through this node in turn.
func throughUpstreams() mirror.Patience {
	return mirror.Patience{Unreached: upstreamPatience, Lost: upstreamLostPatience}
}

// mirroring follows what gateways follow through this node.
func (n *Node) mirroring(kind string, direct follow.Source) *follow.Follower {
	through := mirror.SourceSettings{
		Wait: upstreamWait, MaxAge: n.settings.ApplyLimit,
		Patience: throughUpstreams(), StorePause: n.settings.ApplyLimit / storePauseParts,
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
		Patience: throughUpstreams(), StorePause: seldomUpstreamWait,
	}
	return n.passingOn(kind, direct, bounds, through, func(snapshot follow.Snapshot) {
		apply(snapshot)
		n.mirror.Keep(kind, snapshot)
	})
}

// passingOn follows a kind and lets others follow it through this node. A few storage
// nodes ask the store; the others follow it through these.
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
