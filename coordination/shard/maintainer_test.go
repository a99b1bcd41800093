package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/test/bubble"
)

// gatedLink delays the installation of some incarnations until gate is closed.
type gatedLink struct {
	link
	gated []string
	gate  chan struct{}
}

func (l gatedLink) Install(ctx context.Context, to register.Member, request shard.InstallRequest) (archive.Reply, error) {
	if slices.Contains(l.gated, to.Incarnation) {
		select {
		case <-l.gate:
		case <-ctx.Done():
			return archive.Reply{}, ctx.Err()
		}
	}
	return l.link.Install(ctx, to, request)
}

// newThreeMembers returns a network of three nodes that are the members of the first epoch.
func newThreeMembers() (*network, register.View) {
	n := newNetwork(1)
	n.instant = true
	first := register.View{Epoch: shard.FirstEpoch}
	for index := range 3 {
		first.Members = append(first.Members, n.start(nodeName(index), "zone", nil).member)
	}
	for _, member := range first.Members {
		n.process(member.Node).views.Learn(first)
	}
	return n, first
}

// restartEmpty starts the node without its data, which knows the view.
func restartEmpty(n *network, node string, known register.View) register.Member {
	p := n.start(node, "zone", nil)
	p.views.Learn(known)
	return p.member
}

// TestSlowCopyDelaysNoOtherShard guards against a node that repairs no set while it waits for
// the copy of another shard.
func TestSlowCopyDelaysNoOtherShard(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		replaced := restartEmpty(n, nodeName(2), first)
		own := n.process(nodeName(0))
		gated := gatedLink{link: link{n, "driver"}, gated: []string{replaced.Incarnation}, gate: make(chan struct{})}
		driver := shard.NewDriver("driver", gated, own.views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
		settings := shard.PlanSettings{ReplicationFactor: 3, ReplaceAfter: time.Second, MaxMoves: 1}
		maintainer := shard.NewMaintainer(nodeName(0), own.replica, own.installer, driver, settings, zap.NewNop())
		situation := shard.ClusterState{Now: time.Now(), ObservedSince: time.Now(), Views: []register.View{first}}
		for _, member := range []register.Member{first.Members[0], first.Members[1], replaced} {
			situation.Nodes = append(situation.Nodes, shard.Node{Member: member, HasDataFolder: true})
		}
		// Nodes that leave can't be chosen to drive the change.
		situation.Nodes[1].Leaving = true
		running, stop := context.WithCancel(t.Context())
		began := time.Now()
		assert.Equal(t, len(maintainer.RunOnce(running, situation).Moves), 1)
		assert.Assert(t, time.Since(began) < time.Second, "the round waits for the copy")
		time.Sleep(10 * time.Second)
		opened, _ := own.views.View(0)
		assert.Equal(t, opened.Epoch, first.Epoch+1, fmt.Sprint(opened))
		copying := n.process(replaced.Node)
		copying.views.Learn(opened)
		itsMaintainer := shard.NewMaintainer(replaced.Node, copying.replica, copying.installer, driver, settings, zap.NewNop())
		assert.Assert(t, !itsMaintainer.HoldsShards(), "a node that still copies must not be reported ready")
		assert.Assert(t, maintainer.HoldsShards())
		stop()
		maintainer.Wait()
	})
}

// TestReplaceWaitsForCopiesThatTheSetNeeds guards against sealing a set that can't open before
// its new members have copied the shard.
func TestReplaceWaitsForCopiesThatTheSetNeeds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		wanted := []register.Member{first.Members[0]}
		gated := gatedLink{link: link{n, "driver"}, gate: make(chan struct{})}
		for _, node := range []string{"n3", "n4"} {
			wanted = append(wanted, restartEmpty(n, node, first))
			gated.gated = append(gated.gated, n.process(node).member.Incarnation)
		}
		var opened register.View
		var err error
		done := make(chan struct{})
		go func() {
			defer close(done)
			opened, err = newTestDriver(gated, first).Replace(t.Context(), first, wanted)
		}()
		time.Sleep(10 * time.Second)
		writeRegister(t, n, first, "served while the new members copy")
		close(gated.gate)
		<-done
		assert.NilError(t, err)
		assert.Equal(t, opened.Epoch, first.Epoch+1)
	})
}
