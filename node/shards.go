package node

import (
	"sync"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/transport/peer"
)

// shardGossip passes the views of shards on with the exchanges of membership.
type shardGossip struct {
	views *shard.Map
	mutex sync.Mutex
	next  int
}

var _ membership.ShardViews = (*shardGossip)(nil)

// Digest implements membership.ShardViews.
func (g *shardGossip) Digest() uint64 { return g.views.Digest() }

// Outgoing implements membership.ShardViews. Views of the first epoch are known
// from the configuration; the others take turns where they don't all fit.
func (g *shardGossip) Outgoing(limit int) []*peerv1.ShardView {
	var moved []*peerv1.ShardView
	for _, view := range g.views.Views() {
		if view.Epoch > shard.FirstEpoch {
			moved = append(moved, peer.ViewToWire(&view))
		}
	}
	if len(moved) <= limit {
		return moved
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	chosen := make([]*peerv1.ShardView, 0, limit)
	for range limit {
		chosen = append(chosen, moved[g.next%len(moved)])
		g.next++
	}
	return chosen
}

// Merge implements membership.ShardViews.
func (g *shardGossip) Merge(views []*peerv1.ShardView) {
	for _, view := range views {
		g.views.Learn(*peer.ViewFromWire(view))
	}
}
