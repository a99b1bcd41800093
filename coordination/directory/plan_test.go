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

// storageNodes are nodes spread over zones.
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

// TestEveryNodeIsInASet: the number of shards grows with the storage nodes, so that
// their work is shared by all of them, and few have no more sets than before.
func TestEveryNodeIsInASet(t *testing.T) {
	for _, c := range []struct {
		nodes, zones, factor int
		shards               uint32
	}{
		{3, 3, 3, 4}, {4, 4, 3, 4}, {8, 3, 5, 4}, {36, 5, 5, 15}, {36, 7, 5, 15}, {100, 13, 5, 40},
	} {
		situation := PlanInput{
			Now: time.Unix(1000, 0), Nodes: storageNodes(c.nodes, c.zones), NodesListed: true, SetsListed: true,
		}
		situation.Self = situation.Nodes[0]
		action, sets := Plan(situation, Settings{Shards: 4, Factor: c.factor})
		assert.Equal(t, action, Bootstrap)
		assert.Equal(t, sets.Shards, c.shards, "%d nodes", c.nodes)
		assert.Equal(t, len(sets.Views), int(c.shards))
		held := make(map[string]int)
		for _, view := range sets.Views {
			assert.Equal(t, len(view.Members), c.factor)
			for _, member := range view.Members {
				held[member.Node]++
			}
		}
		for _, node := range situation.Nodes {
			assert.Assert(t, held[node.Node] >= 1, "%s of %d has nothing to do", node.Node, c.nodes)
		}
	}
}

// published is what the store tells of sets.
func published(t *testing.T, sets Sets) follow.Snapshot {
	t.Helper()
	objects := &sharedObjects{}
	keeper := &Keeper{}
	assert.NilError(t, keeper.encodeAndWrite(sets, func(spec []byte) error { objects.spec = spec; return nil }))
	return follow.Snapshot{At: 1, Objects: []follow.Object{{Name: SetsName, Revision: 1, Spec: objects.spec}}}
}

// TestNumberOfShardsIsKeptFirst: a node whose disk takes no note of the number of
// shards doesn't go by it, and takes another number never after.
func TestNumberOfShardsIsKeptFirst(t *testing.T) {
	nodes := storageNodes(3, 3)
	views := shard.NewMap(0)
	lookup := NewLookup(views, zap.NewNop())
	kept := errors.New("the disk is full")
	var told []uint32
	lookup.OnFounded(func(shards uint32) error { told = append(told, shards); return kept })
	sets := Sets{Shards: 6, Views: []register.View{{Shard: 5, Epoch: shard.FirstEpoch, Members: nodes}}}
	lookup.Apply(published(t, sets))
	assert.Equal(t, views.Count(), uint32(0))
	_, found := lookup.View(lookup.Locate("p"))
	assert.Assert(t, !found)
	kept = nil
	lookup.Apply(published(t, sets))
	assert.Equal(t, views.Count(), uint32(6))
	_, found = lookup.View(5)
	assert.Assert(t, found)
	lookup.Apply(published(t, Sets{Shards: 9, Views: sets.Views}))
	assert.Equal(t, views.Count(), uint32(6))
	assert.DeepEqual(t, told, []uint32{6, 6})
}
