package shard_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// TestLocateBeforeShardCountIsKnown guards against locating programs in the first shard while
// the number of shards is unknown, where budgets could be exceeded.
func TestLocateBeforeShardCountIsKnown(t *testing.T) {
	const shards = 2
	views := shard.NewMap(0)
	located := views.Locate("p")
	views.SetCount(shards)
	for number := range uint32(shards) {
		views.Learn(register.View{Shard: number, Epoch: shard.FirstEpoch, Members: []register.Member{{Node: "a"}}})
	}
	_, found := views.View(located)
	assert.Assert(t, !found, "located in shard %d", located)
	_, found = views.View(views.Locate("p"))
	assert.Assert(t, found)
}
