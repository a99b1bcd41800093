package directory

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// Lookup is a node's map of the replica sets, filled from the store and by the views that
// replicas return. It implements register.Views and is read without a lock.
type Lookup struct {
	shardMap atomic.Pointer[shard.Map]
	logger   *zap.Logger
	// onShardCount is told the number of shards before the map has it; nil for nobody.
	onShardCount func(shards uint32) error
}

// NewLookup makes a lookup around a map. Where the map is nil, one is made when the sets
// are first read.
func NewLookup(views *shard.Map, logger *zap.Logger) *Lookup {
	l := &Lookup{logger: logger}
	if views != nil {
		l.shardMap.Store(views)
	}
	return l
}

// OnFounded sets a function that is told the number of shards before this node's map has
// it, for example to keep it on a disk. If the function fails, the map stays without
// shards. It must be called before Apply.
func (l *Lookup) OnFounded(tell func(shards uint32) error) { l.onShardCount = tell }

// Map returns the map; nil before the sets were founded.
func (l *Lookup) Map() *shard.Map { return l.shardMap.Load() }

// Apply learns the published sets. It is called from one goroutine.
func (l *Lookup) Apply(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		l.logger.Error("replica sets refused", zap.Int64("revision", snapshot.At), zap.Error(err))
	}
	if err != nil || !found {
		return
	}
	views := l.shardMap.Load()
	if views == nil {
		views = shard.NewMap(published.Sets.Shards)
		l.shardMap.Store(views)
	}
	if views.Count() == 0 && !l.setShardCount(views, published.Sets.Shards) {
		return
	}
	if views.Count() != published.Sets.Shards {
		l.logger.Error("replica sets refused: another number of shards",
			zap.Uint32("published", published.Sets.Shards), zap.Uint32("here", views.Count()))
		return
	}
	before := views.Digest()
	for _, view := range published.Sets.Views {
		views.Learn(view)
	}
	if views.Digest() != before {
		l.logger.Info("replica sets learned", zap.Int64("revision", published.Revision),
			zap.Uint32("shards", published.Sets.Shards), zap.Uint64("epoch_of_first", views.Epoch(0)))
	}
}

// setShardCount gives the map the number of shards, and tells whether that succeeded.
func (l *Lookup) setShardCount(views *shard.Map, shards uint32) bool {
	if l.onShardCount != nil {
		if err := l.onShardCount(shards); err != nil {
			l.logger.Error("number of shards not kept", zap.Uint32("shards", shards), zap.Error(err))
			return false
		}
	}
	views.Found(shards)
	l.logger.Info("number of shards known", zap.Uint32("shards", shards))
	return true
}

// View implements register.Views.
func (l *Lookup) View(number uint32) (register.View, bool) {
	if views := l.shardMap.Load(); views != nil {
		return views.View(number)
	}
	return register.View{}, false
}

// Learn implements register.Views.
func (l *Lookup) Learn(view register.View) {
	if views := l.shardMap.Load(); views != nil {
		views.Learn(view)
	}
}

// Locate returns the shard that keeps the id; shard.Nowhere before the sets were founded.
func (l *Lookup) Locate(id string) uint32 {
	if views := l.shardMap.Load(); views != nil {
		return views.Locate(id)
	}
	return shard.Nowhere
}

// Shards returns the number of shards; 0 before the sets were founded.
func (l *Lookup) Shards() uint32 {
	if views := l.shardMap.Load(); views != nil {
		return views.Count()
	}
	return 0
}

// ConfigurationVersion implements register.Views. Sets of the directory don't depend on
// the configuration, so that there is no version.
func (l *Lookup) ConfigurationVersion() uint64 { return 0 }

// LearnConfiguration implements register.Views.
func (l *Lookup) LearnConfiguration(context.Context, uint64) {}
