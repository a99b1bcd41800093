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

// startupStore is a store to which storage nodes announce themselves. It delivers no
// changes.
type startupStore struct {
	mutex    sync.Mutex
	revision int64
	nodes    []follow.Object
	sets     []byte
	// announcements counts the attempts to create a node's object.
	announcements int
}

func (s *startupStore) Create(_ context.Context, kind, name string, spec []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if kind == KindSets {
		if s.sets != nil {
			return ErrExists
		}
		s.sets = spec
		return nil
	}
	s.announcements++
	for _, object := range s.nodes {
		if object.Name == name {
			return ErrExists
		}
	}
	s.revision++
	s.nodes = append(s.nodes, follow.Object{Name: name, Revision: s.revision, Spec: spec})
	return nil
}

func (s *startupStore) Replace(context.Context, string, string, []byte, int64) error {
	return ErrConflict
}

func (s *startupStore) List(context.Context, string) (follow.Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return follow.Snapshot{At: s.revision, Objects: append([]follow.Object(nil), s.nodes...)}, nil
}

func (s *startupStore) announce(t *testing.T, members []register.Member) {
	t.Helper()
	for _, member := range members {
		spec, err := json.Marshal(Node{Member: member})
		assert.NilError(t, err)
		assert.NilError(t, s.Create(t.Context(), KindNodes, member.Node, spec))
	}
}

// TestBootstrapUsesStoredNodes guards against replica sets that are created with the few
// nodes of an outdated listing while many nodes start together.
func TestBootstrapUsesStoredNodes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		members := storageNodes(40, 5)
		store := &startupStore{}
		store.announce(t, members)
		views := shard.NewMap(0)
		writer := NewWriter(members[0], store, func() *shard.Map { return views },
			Settings{Shards: 4, Factor: 5, StableFor: 800 * time.Millisecond, DegradedAfter: 6 * time.Second}, time.Now, zap.NewNop())
		var serving sync.WaitGroup
		serving.Go(func() { _ = writer.Serve(ctx) })
		writer.ApplySets(follow.Snapshot{})
		outdated, err := store.List(ctx, KindNodes)
		assert.NilError(t, err)
		outdated.Objects = outdated.Objects[:6]
		writer.ApplyNodes(outdated)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		cancel()
		serving.Wait()
		var created Sets
		assert.NilError(t, json.Unmarshal(store.sets, &created))
		assert.Equal(t, created.Shards, uint32(16))
		inSets := make(map[string]bool)
		for _, view := range created.Views {
			for _, member := range view.Members {
				inSets[member.Node] = true
			}
		}
		assert.Equal(t, len(inSets), len(members), "nodes in sets")
	})
}

// TestDelayedListingCausesNoRepeatedAnnouncement guards against repeated announcements while the
// listing is delayed. A node whose object was deleted must announce itself again.
func TestDelayedListingCausesNoRepeatedAnnouncement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := storageNodes(1, 1)[0]
		store := &startupStore{}
		views := shard.NewMap(0)
		writer := NewWriter(self, store, func() *shard.Map { return views }, Settings{Shards: 4, Factor: 5}, time.Now, zap.NewNop())
		var serving sync.WaitGroup
		serving.Go(func() { _ = writer.Serve(ctx) })
		writer.ApplyNodes(follow.Snapshot{})
		time.Sleep(2500 * time.Millisecond)
		store.mutex.Lock()
		assert.Equal(t, store.announcements, 1)
		store.mutex.Unlock()
		// The object is deleted, and the node receives no further listing.
		store.mutex.Lock()
		store.nodes = nil
		store.mutex.Unlock()
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		assert.Equal(t, len(store.nodes), 1, "objects of the node after it was deleted")
		store.mutex.Unlock()
		cancel()
		serving.Wait()
	})
}
