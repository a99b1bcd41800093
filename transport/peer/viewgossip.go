package peer

import (
	"sync"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/shard"
)

// ViewGossip passes the views of shards on with the exchanges of membership.
type ViewGossip struct {
	views *shard.Map
	mutex sync.Mutex
	next  int
}

// NewViewGossip makes the gossip of the views of one node.
func NewViewGossip(views *shard.Map) *ViewGossip { return &ViewGossip{views: views} }

var _ membership.ShardViews = (*ViewGossip)(nil)

// Digest implements membership.ShardViews.
func (g *ViewGossip) Digest() uint64 { return g.views.Digest() }

// Outgoing implements membership.ShardViews. Views of the first epoch are known
// from the configuration; the others take turns where they don't all fit.
func (g *ViewGossip) Outgoing(limit int) []*peerv1.ShardView {
	var moved []*peerv1.ShardView
	for _, view := range g.views.Views() {
		if view.Epoch > shard.FirstEpoch {
			moved = append(moved, ViewToWire(&view))
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
func (g *ViewGossip) Merge(views []*peerv1.ShardView) {
	for _, view := range views {
		g.views.Learn(*ViewFromWire(view))
	}
}
