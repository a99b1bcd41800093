package shard_test

import (
	"context"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// countingLink counts the pulls that request a listing, and fails those from one node.
type countingLink struct {
	link
	lost     string
	listings *atomic.Int64
}

func (c countingLink) Pull(ctx context.Context, to register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	if request.OmitObjects {
		c.listings.Add(1)
	}
	if to.Node == c.lost {
		return archive.Reply{}, errLost
	}
	return c.link.Pull(ctx, to, request, visit)
}

// TestInstallListsMajority checks that an installation requests no more listings than it
// needs, counts its own, and asks another member if one fails.
func TestInstallListsMajority(t *testing.T) {
	for _, c := range []struct {
		name      string
		installer int
		listings  int64
	}{
		{"a new member", 5, 3},
		{"a remaining member", 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, first, second := newSealedSet(t)
			p := n.process(nodeName(c.installer))
			counter := countingLink{link: link{n, "client"}, listings: &atomic.Int64{}}
			installer := shard.NewInstaller(p.replica, counter, zap.NewNop())
			reply := installer.Install(t.Context(), shard.InstallRequest{Previous: first, Successor: second})
			assert.Equal(t, reply.Refusal, register.RefusalNone)
			assert.Equal(t, counter.listings.Load(), c.listings)
		})
	}
	for lost := range 5 {
		n, first, second := newSealedSet(t)
		counter := countingLink{link: link{n, "client"}, lost: nodeName(lost), listings: &atomic.Int64{}}
		installer := shard.NewInstaller(n.process(nodeName(5)).replica, counter, zap.NewNop())
		reply := installer.Install(t.Context(), shard.InstallRequest{Previous: first, Successor: second})
		assert.Equal(t, reply.Refusal, register.RefusalNone)
		assert.Assert(t, counter.listings.Load() <= 4, "%d listings with one failing member", counter.listings.Load())
	}
}

// newSealedSet returns a set of five members whose epoch has ended, and its successor, in
// which a sixth node replaces the first.
func newSealedSet(t *testing.T) (n *network, first, second register.View) {
	t.Helper()
	n = newNetwork(1)
	n.instant = true
	var members []register.Member
	for index := range 6 {
		members = append(members, n.start(nodeName(index), "zone", nil).member)
	}
	first = register.View{Epoch: shard.FirstEpoch, Members: members[:5]}
	second = register.View{Epoch: first.Epoch + 1, Members: members[1:]}
	for _, member := range first.Members {
		n.process(member.Node).views.Learn(first)
		fence := register.Fence{Epoch: first.Epoch, Replica: member.Incarnation}
		reply := n.process(member.Node).replica.Seal(t.Context(), shard.SealRequest{Fence: fence, Successor: second})
		assert.Equal(t, reply.Refusal, register.RefusalNone)
	}
	return n, first, second
}
