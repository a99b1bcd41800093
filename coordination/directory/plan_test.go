package directory

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// storageNodes returns the given number of nodes, spread over the zones.
func storageNodes(count, zones int) []register.Member {
	nodes := make([]register.Member, 0, count)
	for index := range count {
		nodes = append(nodes, register.Member{
			Node: fmt.Sprintf("storage-%d", index), Incarnation: fmt.Sprint("i-", index),
			Address: fmt.Sprintf("10.0.0.%d:1", index+1), Zone: fmt.Sprint("zone-", index%zones),
		})
	}
	return nodes
}

// TestBootstrapUsesEveryNode checks that the number of shards grows with the number of
// storage nodes, so that no node is idle.
func TestBootstrapUsesEveryNode(t *testing.T) {
	for _, c := range []struct {
		nodes, zones, factor int
		shards               uint32
	}{
		{3, 3, 3, 4}, {4, 4, 3, 4}, {8, 3, 5, 4}, {36, 5, 5, 15}, {36, 7, 5, 15}, {100, 13, 5, 40},
	} {
		input := PlanInput{
			Now: time.Unix(1000, 0), Nodes: storageNodes(c.nodes, c.zones), NodesListed: true, SetsListed: true,
		}
		input.Self = input.Nodes[0]
		action, sets := Plan(input, Settings{Shards: 4, Factor: c.factor})
		assert.Equal(t, action, Bootstrap)
		assert.Equal(t, sets.Shards, c.shards, "%d nodes", c.nodes)
		assert.Equal(t, len(sets.Views), int(c.shards))
		setsOf := make(map[string]int)
		for _, view := range sets.Views {
			assert.Equal(t, len(view.Members), c.factor)
			for _, member := range view.Members {
				setsOf[member.Node]++
			}
		}
		for _, node := range input.Nodes {
			assert.Assert(t, setsOf[node.Node] >= 1, "%s of %d nodes is in no set", node.Node, c.nodes)
		}
	}
}

// publishedSnapshot returns the snapshot of a store that holds the sets.
func publishedSnapshot(t *testing.T, sets Sets) follow.Snapshot {
	t.Helper()
	store := &sharedStore{}
	writer := &Writer{}
	assert.NilError(t, writer.encodeAndWrite(sets, func(spec []byte) error { store.spec = spec; return nil }))
	return follow.Snapshot{At: 1, Objects: []follow.Object{{Name: SetsName, Revision: 1, Spec: store.spec}}}
}

// TestShardCountIsStoredBeforeUse checks that a node doesn't use the number of shards
// before it is stored, and never accepts a different number afterwards.
func TestShardCountIsStoredBeforeUse(t *testing.T) {
	nodes := storageNodes(3, 3)
	views := shard.NewMap(0)
	lookup := NewLookup(views, zap.NewNop())
	storeErr := errors.New("the disk is full")
	var stored []uint32
	lookup.OnShardCount(func(shards uint32) error { stored = append(stored, shards); return storeErr })
	sets := Sets{Shards: 6, Views: []register.View{{Shard: 5, Epoch: shard.FirstEpoch, Members: nodes}}}
	lookup.Apply(publishedSnapshot(t, sets))
	assert.Equal(t, views.Count(), uint32(0))
	_, found := lookup.View(lookup.Locate("p"))
	assert.Assert(t, !found)
	storeErr = nil
	lookup.Apply(publishedSnapshot(t, sets))
	assert.Equal(t, views.Count(), uint32(6))
	_, found = lookup.View(5)
	assert.Assert(t, found)
	lookup.Apply(publishedSnapshot(t, Sets{Shards: 9, Views: sets.Views}))
	assert.Equal(t, views.Count(), uint32(6))
	assert.DeepEqual(t, stored, []uint32{6, 6})
}
