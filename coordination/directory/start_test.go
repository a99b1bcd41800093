package directory

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/test/bubble"
)

// startingStore is a store while storage nodes start: they announce themselves, and hear
// of each other late.
type startingStore struct {
	mutex    sync.Mutex
	revision int64
	nodes    []follow.Object
	sets     []byte
	// announced counts the writes of nodes about themselves.
	announced int
}

func (s *startingStore) Create(_ context.Context, kind, name string, spec []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if kind == KindSets {
		if s.sets != nil {
			return ErrExists
		}
		s.sets = spec
		return nil
	}
	s.announced++
	for _, object := range s.nodes {
		if object.Name == name {
			return ErrExists
		}
	}
	s.revision++
	s.nodes = append(s.nodes, follow.Object{Name: name, Revision: s.revision, Spec: spec})
	return nil
}

func (s *startingStore) Replace(context.Context, string, string, []byte, int64) error {
	return ErrConflict
}

func (s *startingStore) List(context.Context, string) (follow.Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return follow.Snapshot{At: s.revision, Objects: append([]follow.Object(nil), s.nodes...)}, nil
}

func (s *startingStore) announce(t *testing.T, members []register.Member) {
	t.Helper()
	for _, member := range members {
		spec, err := json.Marshal(Node{Member: member})
		assert.NilError(t, err)
		assert.NilError(t, s.Create(t.Context(), KindNodes, member.Node, spec))
	}
}

// Two of four starts of a fleet of 40 storage nodes ended with replica sets on a few of
// them, which had no room for its programs: 0.13 of these and none were served. Nodes
// hear of each other through three of them, whose links and processors are full while all
// start: in a start that went well one still knew 6 nodes 1.6 s after 39 had announced
// themselves, and the sets are founded 0.8 s after the last news. It hadn't heard of itself yet, or it would have founded them with
// these 6, for good:
//
//	-12.8355 directory written action=1 nodes=6
//	-12.1116 directory written action=1 nodes=39
//	-11.2007 directory written action=1 nodes=6
func TestSetsAreFoundedByWhatTheStoreHas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		members := storageNodes(40, 5)
		store := &startingStore{}
		store.announce(t, members)
		views := shard.NewMap(0)
		keeper := NewKeeper(members[0], store, func() *shard.Map { return views },
			Settings{Shards: 4, Factor: 5, Settle: 800 * time.Millisecond, Patience: 6 * time.Second}, time.Now, zap.NewNop())
		var serving sync.WaitGroup
		serving.Go(func() { _ = keeper.Serve(ctx) })
		keeper.ApplySets(follow.Snapshot{})
		late, err := store.List(ctx, KindNodes)
		assert.NilError(t, err)
		late.Objects = late.Objects[:6]
		keeper.ApplyNodes(late)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		cancel()
		serving.Wait()
		var founded Sets
		assert.NilError(t, json.Unmarshal(store.sets, &founded))
		assert.Equal(t, founded.Shards, uint32(16))
		holding := make(map[string]bool)
		for _, view := range founded.Views {
			for _, member := range view.Members {
				holding[member.Node] = true
			}
		}
		assert.Equal(t, len(holding), len(members), "nodes in sets")
	})
}

// TestNodeThatHearsOfItselfLateAnnouncesItselfOnce: 40 nodes that started together wrote
// 104 times what they had said before, to a store that paces its writes.
func TestNodeThatHearsOfItselfLateAnnouncesItselfOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := storageNodes(1, 1)[0]
		store := &startingStore{}
		views := shard.NewMap(0)
		keeper := NewKeeper(self, store, func() *shard.Map { return views }, Settings{Shards: 4, Factor: 5}, time.Now, zap.NewNop())
		var serving sync.WaitGroup
		serving.Go(func() { _ = keeper.Serve(ctx) })
		keeper.ApplyNodes(follow.Snapshot{})
		time.Sleep(2500 * time.Millisecond)
		store.mutex.Lock()
		assert.Equal(t, store.announced, 1)
		store.mutex.Unlock()
		// Somebody takes its object away, and nobody tells it more.
		store.mutex.Lock()
		store.nodes = nil
		store.mutex.Unlock()
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		assert.Equal(t, len(store.nodes), 1, "it is announced anew after a while")
		store.mutex.Unlock()
		cancel()
		serving.Wait()
	})
}
