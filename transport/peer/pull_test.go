package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/transport/peer"
)

// generatedReplica sends generated registers and turns, as many as the counts say.
type generatedReplica struct {
	peer.Replica
	registers, turns int
}

func (r *generatedReplica) Pull(_ context.Context, _ shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	for i := range r.registers {
		state := replica.Register{Accepted: replica.Ballot{Counter: uint64(i + 1), Proposer: "p"}, Value: []byte(fmt.Sprint("value", i))}
		if err := visit(shard.PullItem{Register: &shard.RegisterState{Key: fmt.Sprint("key", i), State: state}}); err != nil {
			return archive.Reply{}, err
		}
	}
	for i := range r.turns {
		turn := replica.Turn{Program: fmt.Sprint("turn", i), Sequence: 1, Object: bytes.Repeat([]byte("x"), 20<<10)}
		if err := visit(shard.PullItem{Turn: &turn}); err != nil {
			return archive.Reply{}, err
		}
	}
	return archive.Reply{}, nil
}

// TestPullBatchesItems guards against a pull that loses items, sends a message per item
// or sends all of them in one message.
func TestPullBatchesItems(t *testing.T) {
	source := &generatedReplica{registers: 5000, turns: 40}
	server := servePeer(t, source, &countingHost{})
	var registers, turns int
	_, err := newPeerClient(t).Pull(t.Context(), memberAt(server), shard.PullRequest{}, func(item shard.PullItem) error {
		if item.Register != nil {
			assert.Equal(t, item.Register.Key, fmt.Sprint("key", registers))
			assert.Equal(t, string(item.Register.State.Value), fmt.Sprint("value", registers))
			registers++
			return nil
		}
		assert.Equal(t, item.Turn.Program, fmt.Sprint("turn", turns))
		turns++
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, registers, source.registers)
	assert.Equal(t, turns, source.turns)

	service := peerv1connect.NewReplicaServiceClient(peer.NewHTTPClient(), server.URL)
	stream, err := service.Pull(t.Context(), connect.NewRequest(&peerv1.PullRequest{Fence: &peerv1.Fence{}}))
	assert.NilError(t, err)
	defer stream.Close()
	messages := 0
	for stream.Receive() {
		messages++
	}
	assert.NilError(t, stream.Err())
	assert.Assert(t, messages >= 10 && messages <= 40, "%d messages", messages)
}
