package shard_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/harness"
)

// blockingStore keeps saves of registers until it is told to go on.
type blockingStore struct {
	replica.Store
	proceed chan struct{}
	saves   atomic.Int64
}

func (s *blockingStore) SaveRegister(shard uint32, key string, state replica.Register) error {
	s.saves.Add(1)
	<-s.proceed
	return s.Store.SaveRegister(shard, key, state)
}

// TestCancelledRequestsDoNotBlockSeal leave a slow replica at once: they don't hold up
// the seal of the shard, and write nothing.
func TestCancelledRequestsDoNotBlockSeal(t *testing.T) {
	const given = 200
	disk := &blockingStore{Store: replica.NewMemory(), proceed: make(chan struct{})}
	views := shard.NewMap(1)
	node := shard.NewReplica("a/1", disk, views, func() uint64 { return 0 })
	view := register.View{Epoch: shard.FirstEpoch, Members: []register.Member{{Node: "a", Incarnation: "a/1"}}}
	views.Learn(view)
	ask := func(ctx context.Context, counter uint64) register.Refusal {
		return node.Prepare(ctx, register.PrepareRequest{
			Fence: register.Fence{Epoch: shard.FirstEpoch, Replica: "a/1"}, Key: "program",
			Ballot: replica.Ballot{Counter: counter, Proposer: "b/1"},
		}).Refusal
	}
	first := make(chan register.Refusal, 1)
	go func() { first <- ask(context.Background(), 1) }()
	harness.Eventually(t, func() (bool, string) { return disk.saves.Load() == 1, "the first request isn't at the disk" })

	ctx, giveUp := context.WithCancel(context.Background())
	ended := make(chan register.Refusal, given)
	for i := range given {
		go func() { ended <- ask(ctx, uint64(i)+2) }()
	}
	giveUp()
	for range given {
		assert.Equal(t, <-ended, register.RefusalNotReady)
	}
	close(disk.proceed)
	assert.Equal(t, <-first, register.RefusalNone)
	sealed := node.Seal(context.Background(), shard.SealRequest{
		Fence: register.Fence{Epoch: shard.FirstEpoch, Replica: "a/1"}, Successor: register.View{Epoch: shard.FirstEpoch + 1, Members: view.Members},
	})
	assert.Equal(t, sealed.Refusal, register.RefusalNone)
	assert.Equal(t, disk.saves.Load(), int64(1), "only the first request was still waited for")
}
