package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/test/bubble"
)

// watchDelay is how long the published sets take to reach a node.
const watchDelay = 20 * time.Millisecond

// sharedObjects is the store as the keepers of several nodes see it.
type sharedObjects struct {
	mutex    sync.Mutex
	revision int64
	spec     []byte
	writes   int
	refused  int
	readers  []*Keeper
}

func (o *sharedObjects) Create(context.Context, string, string, []byte) error { return ErrExists }

func (o *sharedObjects) List(context.Context, string) (follow.Snapshot, error) {
	return follow.Snapshot{}, errors.New("nobody founds sets here")
}

func (o *sharedObjects) Replace(_ context.Context, _, _ string, spec []byte, revision int64) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if revision != o.revision {
		o.refused++
		return ErrConflict
	}
	o.writes++
	o.publish(spec)
	return nil
}

// publish stores the sets and tells the keepers later.
func (o *sharedObjects) publish(spec []byte) {
	o.revision++
	o.spec = spec
	snapshot := follow.Snapshot{At: o.revision, Objects: []follow.Object{{Name: SetsName, Revision: o.revision, Spec: spec}}}
	for _, keeper := range o.readers {
		time.AfterFunc(watchDelay, func() { keeper.ApplySets(snapshot) })
	}
}

// TestOneNodePublishesANewSet though all nodes learn of it at the same moment.
func TestOneNodePublishesANewSet(t *testing.T) {
	const nodes = 8
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		objects := &sharedObjects{}
		maps := make([]*shard.Map, nodes)
		view := register.View{Epoch: shard.FirstEpoch}
		for index := range nodes {
			self := register.Member{Node: fmt.Sprint("storage-", index)}
			view.Members = append(view.Members, self)
			maps[index] = shard.NewMap(1)
			keeper := NewKeeper(self, objects, func() *shard.Map { return maps[index] }, Settings{Shards: 1, Factor: 3}, time.Now, zap.NewNop())
			keeper.randomDelay = func(limit time.Duration) time.Duration { return limit * time.Duration(index) / nodes }
			objects.readers = append(objects.readers, keeper)
			serving.Go(func() { _ = keeper.Serve(ctx) })
		}
		first, err := json.Marshal(Sets{Shards: 1, Views: []register.View{view}})
		assert.NilError(t, err)
		objects.mutex.Lock()
		objects.publish(first)
		objects.mutex.Unlock()
		time.Sleep(time.Second)
		view.Epoch++
		for _, known := range maps {
			known.Learn(view)
		}
		time.Sleep(3 * time.Second)
		cancel()
		serving.Wait()
		var published Sets
		assert.NilError(t, json.Unmarshal(objects.spec, &published))
		assert.Equal(t, published.Views[0].Epoch, view.Epoch)
		assert.Equal(t, objects.writes, 1)
		assert.Equal(t, objects.refused, 0)
	})
}
