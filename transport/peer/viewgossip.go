package peer

import (
	"sync"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/shard"
)

// ViewGossip spreads the views of shards with membership gossip. It implements
// membership.ShardViews.
type ViewGossip struct {
	views *shard.Map
	mutex sync.Mutex
	// next counts the views sent where not all fit. The next view to send follows from
	// it.
	next int
}

// NewViewGossip returns the gossip of the views that this node knows.
func NewViewGossip(views *shard.Map) *ViewGossip { return &ViewGossip{views: views} }

var _ membership.ShardViews = (*ViewGossip)(nil)

// Digest implements membership.ShardViews.
func (g *ViewGossip) Digest() uint64 { return g.views.Digest() }

// Outgoing implements membership.ShardViews. It omits views of the first epoch, which
// nodes know from the configuration. If the others exceed the limit, successive calls
// return them in rotation.
func (g *ViewGossip) Outgoing(limit int) []*peerv1.ShardView {
	var changed []*peerv1.ShardView
	for _, view := range g.views.Views() {
		if view.Epoch > shard.FirstEpoch {
			changed = append(changed, ViewToWire(&view))
		}
	}
	if len(changed) <= limit {
		return changed
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	selected := make([]*peerv1.ShardView, 0, limit)
	for range limit {
		selected = append(selected, changed[g.next%len(changed)])
		g.next++
	}
	return selected
}

// Merge implements membership.ShardViews.
func (g *ViewGossip) Merge(views []*peerv1.ShardView) {
	for _, view := range views {
		g.views.Learn(*ViewFromWire(view))
	}
}
