package directory

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// Lookup is a node's map of the replica sets, filled from the store and by what
// replicas say. It implements register.Views. Reading takes no lock.
type Lookup struct {
	views  atomic.Pointer[shard.Map]
	logger *zap.Logger
	// founded is told of the number of shards before the map is; nil for nobody.
	founded func(shards uint32) error
}

// NewLookup makes a lookup around a map, or around none: then the map is made
// when the sets are first read.
func NewLookup(views *shard.Map, logger *zap.Logger) *Lookup {
	l := &Lookup{logger: logger}
	if views != nil {
		l.views.Store(views)
	}
	return l
}

// OnFounded sets what is told how many shards there are before this node's map is,
// which stays without them where that fails. It is to be called before Apply.
func (l *Lookup) OnFounded(tell func(shards uint32) error) { l.founded = tell }

// Map returns the map; nil before the sets were founded.
func (l *Lookup) Map() *shard.Map { return l.views.Load() }

// Apply takes in the published sets. It is called from one goroutine.
func (l *Lookup) Apply(snapshot follow.Snapshot) {
	published, found, err := DecodeSets(snapshot)
	if err != nil {
		l.logger.Error("replica sets refused", zap.Int64("revision", snapshot.At), zap.Error(err))
	}
	if err != nil || !found {
		return
	}
	views := l.views.Load()
	if views == nil {
		views = shard.NewMap(published.Sets.Shards)
		l.views.Store(views)
	}
	if views.Count() == 0 && !l.found(views, published.Sets.Shards) {
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

// found makes the number of shards known to the map, and tells whether it did.
func (l *Lookup) found(views *shard.Map, shards uint32) bool {
	if l.founded != nil {
		if err := l.founded(shards); err != nil {
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
	if views := l.views.Load(); views != nil {
		return views.View(number)
	}
	return register.View{}, false
}

// Learn implements register.Views.
func (l *Lookup) Learn(view register.View) {
	if views := l.views.Load(); views != nil {
		views.Learn(view)
	}
}

// Locate returns the shard that an id is kept in.
func (l *Lookup) Locate(id string) uint32 {
	if views := l.views.Load(); views != nil {
		return views.Locate(id)
	}
	return 0
}

// Shards is the number of shards; zero before the sets were founded.
func (l *Lookup) Shards() uint32 {
	if views := l.views.Load(); views != nil {
		return views.Count()
	}
	return 0
}

// ConfigurationVersion implements register.Views. What is kept here doesn't
// depend on the configuration.
func (l *Lookup) ConfigurationVersion() uint64 { return 0 }

// LearnConfiguration implements register.Views.
func (l *Lookup) LearnConfiguration(context.Context, uint64) {}
