package shard_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

func newTestDriver(members shard.Members, known register.View) *shard.Driver {
	views := shard.NewMap(1)
	views.Learn(known)
	return shard.NewDriver("driver", members, views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
}

func writeRegister(t *testing.T, n *network, view register.View, value string) {
	t.Helper()
	views := shard.NewMap(1)
	views.Learn(view)
	client := register.NewClient("client-"+value, link{n, "client"}, clientViews{views}, register.SystemClock{}, rand.New(rand.NewPCG(2, 2)), register.DefaultSettings())
	_, err := client.Apply(t.Context(), 0, "key", func([]byte) ([]byte, error) { return []byte(value), nil })
	assert.NilError(t, err)
}

// TestSetWithOneHolderOutlivesTheLossOfTheOther guards against a shard that stays unavailable
// after a disk is lost while the third member still copies the shard.
func TestSetWithOneHolderOutlivesTheLossOfTheOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		writeRegister(t, n, first, "first")
		// n2 loses its disk and is replaced, but its new incarnation doesn't copy the shard.
		replaced := restartEmpty(n, nodeName(2), first)
		gated := gatedLink{link: link{n, "driver"}, gated: []string{replaced.Incarnation}, gate: make(chan struct{})}
		second := register.View{Epoch: first.Epoch + 1, Members: []register.Member{first.Members[0], first.Members[1], replaced}}
		changing, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		opened, err := newTestDriver(gated, first).Replace(changing, first, second.Members)
		assert.NilError(t, err)
		assert.Equal(t, opened.Epoch, second.Epoch)
		for _, member := range second.Members {
			n.process(member.Node).views.Learn(opened)
		}
		writeRegister(t, n, opened, "second")
		fence := register.Fence{Epoch: opened.Epoch, Replica: first.Members[1].Incarnation}
		turn := replica.Turn{Program: "turn", Sequence: 1, Object: []byte("object")}
		for _, member := range opened.Members[:2] {
			fence.Replica = member.Incarnation
			assert.Equal(t, n.process(member.Node).replica.PutTurn(t.Context(), fence, turn).Refusal, register.RefusalNone)
		}
		// n0 loses its disk: of those that hold the second epoch, n1 is left.
		third := []register.Member{restartEmpty(n, nodeName(0), opened), first.Members[1], replaced}
		recovering, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		last, err := newTestDriver(link{n, "driver"}, opened).Replace(recovering, opened, third)
		assert.NilError(t, err)
		for _, member := range third {
			p := n.process(member.Node)
			state, err := p.store.LoadRegister(0, "key")
			assert.NilError(t, err)
			assert.Equal(t, string(state.Value), "second", member.Node)
			assert.Equal(t, countTurns(p), 1, member.Node)
		}
		writeRegister(t, n, last, "third")
	})
}

// TestSetIsNotBegunFromMembersWithoutData guards against a successor that is empty, since all
// members that were listed had never held the data.
func TestSetIsNotBegunFromMembersWithoutData(t *testing.T) {
	n, first := newThreeMembers()
	second := register.View{Epoch: first.Epoch + 1, Members: first.Members}
	third := register.View{Epoch: second.Epoch + 1, Members: first.Members}
	for _, member := range first.Members {
		fence := register.Fence{Epoch: first.Epoch, Replica: member.Incarnation}
		p := n.process(member.Node)
		assert.Equal(t, p.replica.Seal(t.Context(), shard.SealRequest{Fence: fence, Successor: second}).Refusal, register.RefusalNone)
		fence.Epoch = second.Epoch
		assert.Equal(t, p.replica.Seal(t.Context(), shard.SealRequest{Fence: fence, Successor: third}).Refusal, register.RefusalNone)
	}
	p := n.process(first.Members[0].Node)
	reply := p.installer.Install(t.Context(), shard.InstallRequest{Previous: second, Successor: third})
	assert.Equal(t, reply.Refusal, register.RefusalNotReady)
}
