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

// publishLatency is the time until published sets reach a node.
const publishLatency = 20 * time.Millisecond

// sharedStore is a store that only holds the replica sets, shared by several writers.
type sharedStore struct {
	mutex     sync.Mutex
	revision  int64
	spec      []byte
	writes    int
	conflicts int
	writers   []*Writer
}

func (s *sharedStore) Create(context.Context, string, string, []byte) error { return ErrExists }

func (s *sharedStore) List(context.Context, string) (follow.Snapshot, error) {
	return follow.Snapshot{}, errors.New("unexpected listing")
}

func (s *sharedStore) Replace(_ context.Context, _, _ string, spec []byte, revision int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision != s.revision {
		s.conflicts++
		return ErrConflict
	}
	s.writes++
	s.publish(spec)
	return nil
}

// publish stores the sets and delivers them to the writers after publishLatency.
func (s *sharedStore) publish(spec []byte) {
	s.revision++
	s.spec = spec
	snapshot := follow.Snapshot{At: s.revision, Objects: []follow.Object{{Name: SetsName, Revision: s.revision, Spec: spec}}}
	for _, writer := range s.writers {
		time.AfterFunc(publishLatency, func() { writer.ApplySets(snapshot) })
	}
}

// TestSingleNodePublishesNewSet guards against redundant and conflicting writes when all
// nodes learn of a new set at the same time.
func TestSingleNodePublishesNewSet(t *testing.T) {
	const nodes = 8
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		store := &sharedStore{}
		maps := make([]*shard.Map, nodes)
		view := register.View{Epoch: shard.FirstEpoch}
		for index := range nodes {
			self := register.Member{Node: fmt.Sprint("storage-", index)}
			view.Members = append(view.Members, self)
			maps[index] = shard.NewMap(1)
			writer := NewWriter(self, store, func() *shard.Map { return maps[index] }, Settings{Shards: 1, Factor: 3}, time.Now, zap.NewNop())
			writer.randomDelay = func(limit time.Duration) time.Duration { return limit * time.Duration(index) / nodes }
			store.writers = append(store.writers, writer)
			serving.Go(func() { _ = writer.Serve(ctx) })
		}
		first, err := json.Marshal(Sets{Shards: 1, Views: []register.View{view}})
		assert.NilError(t, err)
		store.mutex.Lock()
		store.publish(first)
		store.mutex.Unlock()
		time.Sleep(time.Second)
		view.Epoch++
		for _, shardMap := range maps {
			shardMap.Learn(view)
		}
		time.Sleep(3 * time.Second)
		cancel()
		serving.Wait()
		var published Sets
		assert.NilError(t, json.Unmarshal(store.spec, &published))
		assert.Equal(t, published.Views[0].Epoch, view.Epoch)
		assert.Equal(t, store.writes, 1)
		assert.Equal(t, store.conflicts, 0)
	})
}
