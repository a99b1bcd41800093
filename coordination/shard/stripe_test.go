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

// blockingStore blocks saves of registers until proceed is closed.
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

// TestCancelledRequestsDoNotBlockSeal guards against cancelled requests that queue behind a
// slow disk, delay the seal of the shard and still write.
func TestCancelledRequestsDoNotBlockSeal(t *testing.T) {
	const requests = 200
	store := &blockingStore{Store: replica.NewMemory(), proceed: make(chan struct{})}
	views := shard.NewMap(1)
	node := shard.NewReplica("a/1", store, views, func() uint64 { return 0 })
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
	harness.Eventually(t, func() (bool, string) { return store.saves.Load() == 1, "the first request has not reached the store" })

	ctx, giveUp := context.WithCancel(context.Background())
	ended := make(chan register.Refusal, requests)
	for i := range requests {
		go func() { ended <- ask(ctx, uint64(i)+2) }()
	}
	giveUp()
	for range requests {
		assert.Equal(t, <-ended, register.RefusalNotReady)
	}
	close(store.proceed)
	assert.Equal(t, <-first, register.RefusalNone)
	sealed := node.Seal(context.Background(), shard.SealRequest{
		Fence: register.Fence{Epoch: shard.FirstEpoch, Replica: "a/1"}, Successor: register.View{Epoch: shard.FirstEpoch + 1, Members: view.Members},
	})
	assert.Equal(t, sealed.Refusal, register.RefusalNone)
	assert.Equal(t, store.saves.Load(), int64(1), "a cancelled request was written")
}
