package shard_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// partialLink is a link that reaches only some nodes.
type partialLink struct {
	link
	reached map[string]bool
}

func (l partialLink) Prepare(ctx context.Context, to register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	if !l.reached[to.Node] {
		return register.PrepareReply{}, errLost
	}
	return l.link.Prepare(ctx, to, request)
}

func (l partialLink) Accept(ctx context.Context, to register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	if !l.reached[to.Node] {
		return register.AcceptReply{}, errLost
	}
	return l.link.Accept(ctx, to, request)
}

func (l partialLink) Pull(ctx context.Context, to register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	if !l.reached[to.Node] {
		return archive.Reply{}, errLost
	}
	return l.link.Pull(ctx, to, request, visit)
}

// TestInheritedValueIsAcceptedAgain guards against a read that returns a value of a minority,
// which a later read from another majority doesn't include.
func TestInheritedValueIsAcceptedAgain(t *testing.T) {
	ctx := context.Background()
	n := newNetwork(1)
	n.instant = true
	low, high := replica.Ballot{Counter: 1, Proposer: "p"}, replica.Ballot{Counter: 2, Proposer: "q"}
	states := []replica.Register{
		{Promised: low, Accepted: low, Value: []byte("first ")},
		{Promised: high},
		{Promised: high, Accepted: high, Value: []byte("second ")},
	}
	first, second := register.View{Epoch: shard.FirstEpoch}, register.View{Epoch: shard.FirstEpoch + 1}
	for index, state := range states {
		p := n.start(nodeName(index), "zone", nil)
		assert.NilError(t, p.store.SaveRegister(0, "program", state))
		first.Members = append(first.Members, p.member)
		second.Members = append(second.Members, n.start(nodeName(index+3), "zone", nil).member)
	}
	for _, member := range first.Members {
		p := n.process(member.Node)
		p.views.Learn(first)
		fence := register.Fence{Epoch: first.Epoch, Replica: member.Incarnation}
		assert.Equal(t, p.replica.Seal(ctx, shard.SealRequest{Fence: fence, Successor: second}).Refusal, register.RefusalNone)
	}
	sources := [][]int{{0, 1}, {0, 1}, {1, 2}}
	for index, member := range second.Members {
		p := n.process(member.Node)
		installer := shard.NewInstaller(p.replica, newPartialLink(n, sources[index]...), zap.NewNop())
		reply := installer.Install(ctx, shard.InstallRequest{Previous: first, Successor: second})
		assert.Equal(t, reply.Refusal, register.RefusalNone)
		copied, err := p.store.LoadRegister(0, "program")
		assert.NilError(t, err)
		assert.Assert(t, !copied.Promised.Less(high), "%s does not keep the highest promise of its sources", member.Node)
		assert.Equal(t, p.replica.Open(ctx, shard.OpenRequest{View: second}).Refusal, register.RefusalNone)
	}
	before := readRegister(t, second, newPartialLink(n, 3, 4))
	after := readRegister(t, second, newPartialLink(n, 3, 5))
	assert.Equal(t, before, after)
}

// TestInstallKeepsNewerState guards against an installation that overwrites a register which
// the member holds at a higher ballot than its sources.
func TestInstallKeepsNewerState(t *testing.T) {
	ctx := context.Background()
	n := newNetwork(1)
	n.instant = true
	var members []register.Member
	for index := range 4 {
		p := n.start(nodeName(index), "zone", nil)
		ballot := replica.Ballot{Counter: uint64(index + 1), Proposer: "p"}
		state := replica.Register{Promised: ballot, Accepted: ballot, Value: []byte(p.member.Node)}
		assert.NilError(t, p.store.SaveRegister(0, "program", state))
		members = append(members, p.member)
	}
	first := register.View{Epoch: shard.FirstEpoch, Members: members[:3]}
	second := register.View{Epoch: first.Epoch + 1, Members: members[1:]}
	for _, member := range first.Members {
		n.process(member.Node).views.Learn(first)
		fence := register.Fence{Epoch: first.Epoch, Replica: member.Incarnation}
		reply := n.process(member.Node).replica.Seal(ctx, shard.SealRequest{Fence: fence, Successor: second})
		assert.Equal(t, reply.Refusal, register.RefusalNone)
	}
	newest := n.process(nodeName(3))
	installer := shard.NewInstaller(newest.replica, newPartialLink(n, 0, 1), zap.NewNop())
	reply := installer.Install(ctx, shard.InstallRequest{Previous: first, Successor: second})
	assert.Equal(t, reply.Refusal, register.RefusalNone)
	kept, err := newest.store.LoadRegister(0, "program")
	assert.NilError(t, err)
	assert.Equal(t, string(kept.Value), newest.member.Node)
	assert.Equal(t, kept.Accepted.Counter, uint64(4))
}

func newPartialLink(n *network, nodes ...int) partialLink {
	reached := make(map[string]bool)
	for _, node := range nodes {
		reached[nodeName(node)] = true
	}
	return partialLink{link{n, "client"}, reached}
}

func readRegister(t *testing.T, view register.View, members partialLink) string {
	t.Helper()
	views := shard.NewMap(1)
	views.Learn(view)
	random := rand.New(rand.NewPCG(1, 1))
	client := register.NewClient("reader", members, clientViews{views}, register.SystemClock{}, random, register.DefaultSettings())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	value, err := client.Read(ctx, 0, "program")
	assert.NilError(t, err)
	return string(value)
}

// TestSealRefusesVotesAndTurns checks that a sealed member grants nothing in the epoch, and
// returns the successor only to a request that decides it.
func TestSealRefusesVotesAndTurns(t *testing.T) {
	ctx := context.Background()
	n := newNetwork(1)
	p := n.start("n0", "zone", nil)
	first := register.View{Epoch: shard.FirstEpoch, Members: []register.Member{p.member}}
	next := register.View{Epoch: first.Epoch + 1, Members: []register.Member{p.member}}
	p.views.Learn(first)
	fence := register.Fence{Epoch: first.Epoch, Replica: p.member.Incarnation}
	pull := shard.PullRequest{Fence: fence}
	reply, err := p.replica.Pull(ctx, pull, func(shard.PullItem) error { return errors.New("nothing to send") })
	assert.NilError(t, err)
	assert.Equal(t, reply.Refusal, register.RefusalNotReady, "registers were sent before the seal")
	assert.Equal(t, p.replica.PutTurn(ctx, fence, replica.Turn{Program: "a"}).Refusal, register.RefusalNone)
	assert.Equal(t, p.replica.Seal(ctx, shard.SealRequest{Fence: fence, Successor: next}).Refusal, register.RefusalNone)
	prepare := register.PrepareRequest{Fence: fence, Key: "a", Ballot: replica.Ballot{Counter: 1, Proposer: "p"}}
	assert.Equal(t, p.replica.Prepare(ctx, prepare).Refusal, register.RefusalSealed)
	assert.Equal(t, p.replica.PutTurn(ctx, fence, replica.Turn{Program: "a"}).Refusal, register.RefusalSealed)
	prepare.Key = "!successor-1"
	refused := p.replica.Prepare(ctx, prepare)
	assert.Equal(t, refused.Refusal, register.RefusalSealed)
	assert.DeepEqual(t, refused.View, &next)
}
