package shard_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// TestLocateBeforeShardCountIsKnown: a storage node that has just started is
// asked for the budget of a program, looks up its shard, and learns the sets before it asks
// for the shard's members. It was sent to the first shard, whatever the program's. The
// tokens that it reserved and counted there are in no record that others read: in a log the
// draw of b0 was decided in shard 0 with 100 tokens reserved, 0.3 s after "number of shards
// known"; the draws of b1 to b4 were decided in shard 1, whose record never had them, and
// the return of b0's reserve found no holder there. b4 was answered with 200 at 400 of 350
// tokens.
func TestLocateBeforeShardCountIsKnown(t *testing.T) {
	const shards = 2
	views := shard.NewMap(0)
	located := views.Locate("p")
	views.Found(shards)
	for number := range uint32(shards) {
		views.Learn(register.View{Shard: number, Epoch: shard.FirstEpoch, Members: []register.Member{{Node: "a"}}})
	}
	_, found := views.View(located)
	assert.Assert(t, !found, "located in shard %d", located)
	_, found = views.View(views.Locate("p"))
	assert.Assert(t, found)
}
