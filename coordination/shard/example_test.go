package shard_test

import (
	"context"
	"fmt"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

func ExampleReplica() {
	views := shard.NewMap(1)
	node := shard.NewReplica("node-a/1", replica.NewMemory(), views, func() uint64 { return 0 })
	member := register.Member{Node: "node-a", Incarnation: "node-a/1"}
	views.Learn(register.View{Shard: 0, Epoch: shard.FirstEpoch, Members: []register.Member{member}})

	prepare := register.PrepareRequest{
		Fence:  register.Fence{Shard: 0, Epoch: shard.FirstEpoch, Replica: "node-a/1"},
		Key:    "program",
		Ballot: replica.Ballot{Counter: 1, Proposer: "node-b/1"},
	}
	fmt.Println(node.Prepare(context.Background(), prepare).Refusal)

	prepare.Fence.Replica = "node-a/0"
	fmt.Println(node.Prepare(context.Background(), prepare).Refusal)
	// Output:
	// none
	// incarnation
}
