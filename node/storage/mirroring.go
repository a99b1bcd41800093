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
	// upstreamWait is how long another storage node may hold a call of this one. It
	// adds to the age of what gateways are told, which the apply limit bounds.
	upstreamWait = mirrorRest
)

// mirrorBounds are those of following what gateways follow through this node.
// The way of this node alone to the store may fail silently, while gateways have
// theirs and are bound by the limit: all of it has to be noticed within the limit.
func mirrorBounds(applyLimit time.Duration) follow.Settings {
	bounds := follow.DefaultSettings()
	bounds.WatchSlack = min(mirrorSlack, applyLimit/4)
	bounds.WatchWait = applyLimit - bounds.WatchSlack - min(mirrorRest, applyLimit/4)
	return bounds
}

// mirroring follows what gateways follow through this node. Only one storage node
// of a zone asks the store; the others follow it through that one.
func (n *Node) mirroring(kind string, direct follow.Source) *follow.Follower {
	through := mirror.SourceSettings{Wait: upstreamWait, MaxAge: n.settings.ApplyLimit}
	follower := follow.New(follow.Options{
		Name: kind, Settings: mirrorBounds(n.settings.ApplyLimit), Logger: n.logger, Now: time.Now,
		Source: mirror.NewSource(kind, direct, n.upstreams, n.peers, through, n.logger),
		Apply:  func(snapshot follow.Snapshot) { n.mirror.Keep(kind, snapshot) },
		Lost:   func() { n.mirror.Lost(kind) },
	})
	n.mirror.Through(kind, follower)
	return follower
}

// listUpstreams lists the storage nodes that this one follows the store through.
func (n *Node) listUpstreams() []netip.AddrPort {
	return mirror.Upstreams(n.self, shard.MembersOf(n.views.Views()))
}

// setsFollower follows the published sets, which gateways follow through this
// node as well.
func (n *Node) setsFollower() *follow.Follower {
	follower := n.follower(mirror.KindSets, n.parts.Sets, n.applySets)
	n.mirror.Through(mirror.KindSets, follower)
	return follower
}
