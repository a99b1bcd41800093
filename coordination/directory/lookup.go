package directory

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// Lookup is a node's local copy of the replica sets. It is updated from the store and from
// the views that replicas return. Reads take no lock. It implements register.Views.
type Lookup struct {
	shardMap atomic.Pointer[shard.Map]
	// isListed is set once the sets were read, though there may have been none.
	isListed atomic.Bool
	logger   *zap.Logger
	// onShardCount is called before the map gets its number of shards; it may be nil.
	onShardCount func(shards uint32) error
}

// NewLookup returns a lookup that uses the given map. If the map is nil, one is created
// once the sets are first read.
func NewLookup(views *shard.Map, logger *zap.Logger) *Lookup {
	l := &Lookup{logger: logger}
	if views != nil {
		l.shardMap.Store(views)
		l.isListed.Store(true)
	}
	return l
}

// OnShardCount sets a function that is called with the number of shards before this node's
// map gets it, for example to store it on disk. If the function fails, the map stays
// without shards. OnShardCount must be called before Apply.
func (l *Lookup) OnShardCount(store func(shards uint32) error) { l.onShardCount = store }

// Map returns the map. It may be nil before the sets were created.
func (l *Lookup) Map() *shard.Map { return l.shardMap.Load() }

// Apply updates the map from the published sets. It must not be called concurrently.
func (l *Lookup) Apply(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		l.logger.Error("invalid replica sets ignored", zap.Int64("revision", snapshot.At), zap.Error(err))
	}
	if err != nil {
		return
	}
	defer l.isListed.Store(true)
	if !found {
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
		l.logger.Error("replica sets ignored: different number of shards",
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

// setShardCount sets the number of shards of the map, unless onShardCount fails, and
// reports whether it did.
func (l *Lookup) setShardCount(views *shard.Map, shards uint32) bool {
	if l.onShardCount != nil {
		if err := l.onShardCount(shards); err != nil {
			l.logger.Error("cannot store number of shards", zap.Uint32("shards", shards), zap.Error(err))
			return false
		}
	}
	views.SetCount(shards)
	l.logger.Info("number of shards known", zap.Uint32("shards", shards))
	return true
}

// IsListed reports whether the published sets were read. There may be none.
func (l *Lookup) IsListed() bool { return l.isListed.Load() }

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

// Locate returns the shard that holds the id, or shard.UnknownShard before the sets
// were created.
func (l *Lookup) Locate(id string) uint32 {
	if views := l.shardMap.Load(); views != nil {
		return views.Locate(id)
	}
	return shard.UnknownShard
}

// Shards returns the number of shards; 0 before the sets were created.
func (l *Lookup) Shards() uint32 {
	if views := l.shardMap.Load(); views != nil {
		return views.Count()
	}
	return 0
}

// ConfigurationVersion implements register.Views. It returns 0, since the sets of the
// directory don't depend on the configuration.
func (l *Lookup) ConfigurationVersion() uint64 { return 0 }

// LearnConfiguration implements register.Views. It does nothing.
func (l *Lookup) LearnConfiguration(context.Context, uint64) {}
