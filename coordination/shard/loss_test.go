package shard_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/test/bubble"
)

func newTestMaintainer(p *process, members shard.Members) *shard.Maintainer {
	driver := shard.NewDriver(p.member.Incarnation, members, p.views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
	settings := shard.PlanSettings{ReplicationFactor: 3, ReplaceAfter: time.Second, MaxMoves: 8}
	return shard.NewMaintainer(p.member.Node, p.replica, p.installer, driver, settings, zap.NewNop())
}

// situationOf is what all nodes know when every running process answers.
func situationOf(n *network, views []register.View) shard.ClusterState {
	situation := shard.ClusterState{Now: time.Now(), ObservedSince: time.Now().Add(-time.Minute), Views: views}
	for _, name := range n.names() {
		situation.Nodes = append(situation.Nodes, shard.Node{Member: n.process(name).member, HasDataFolder: true})
	}
	return situation
}

// repairFor runs the maintainers of all nodes, which exchange their open views.
func repairFor(ctx context.Context, n *network, maintainers map[string]*shard.Maintainer, length time.Duration) register.View {
	newest := register.View{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		for _, name := range n.names() {
			if view, _ := n.process(name).views.View(0); view.Epoch > newest.Epoch {
				newest = view
			}
		}
		for name, maintainer := range maintainers {
			p := n.process(name)
			p.views.Learn(newest)
			maintainer.RunOnce(ctx, situationOf(n, p.views.Views()))
		}
	}
	return newest
}

// TestInstalledSetOpensAfterTheLossOfItsDriver guards against a shard that stays unavailable
// after a disk is lost between the installation of a successor and its opening, though a
// member of the successor holds all data.
func TestInstalledSetOpensAfterTheLossOfItsDriver(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		writeRegister(t, n, first, "first")
		replaced := restartEmpty(n, nodeName(2), first)
		second := register.View{Epoch: first.Epoch + 1, Members: []register.Member{first.Members[0], first.Members[1], replaced}}
		// n1 replaces n2, and loses its disk when both holders have installed the successor.
		changing, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		halted := haltedLink{gatedLink{link: link{n, "driver"}, gated: []string{replaced.Incarnation}, gate: make(chan struct{})}}
		_, _ = newTestDriver(halted, first).Replace(changing, first, second.Members)
		holder := n.process(nodeName(0))
		assert.Equal(t, holder.installer.Install(t.Context(), shard.InstallRequest{Previous: first, Successor: second}).Refusal, register.RefusalNone,
			"n0 must hold the successor")
		restartEmpty(n, nodeName(1), first)
		maintainers := make(map[string]*shard.Maintainer)
		for _, name := range n.names() {
			maintainers[name] = newTestMaintainer(n.process(name), link{n, name})
		}
		repairing, end := context.WithCancel(t.Context())
		defer waitFor(maintainers)
		defer end()
		newest := repairFor(repairing, n, maintainers, 3*time.Minute)
		assert.Assert(t, newest.Epoch > second.Epoch, "newest open epoch %d", newest.Epoch)
		writeRegister(t, n, newest, "second")
	})
}

// haltedLink is the link of a driver that ends before it opens a view.
type haltedLink struct{ gatedLink }

func (haltedLink) Open(ctx context.Context, _ register.Member, request shard.OpenRequest) (reply archive.Reply, err error) {
	if request.View.Epoch == shard.FirstEpoch {
		return reply, nil
	}
	return reply, errLost
}

func waitFor(maintainers map[string]*shard.Maintainer) {
	for _, maintainer := range maintainers {
		maintainer.Wait()
	}
}

// endingLink is a link whose installations end with the request, as those of a server do.
type endingLink struct{ link }

func (l endingLink) Install(ctx context.Context, to register.Member, request shard.InstallRequest) (archive.Reply, error) {
	reply := l.network.process(to.Address).installer.Install(ctx, request)
	return reply, ctx.Err()
}

// TestSecondLossIsRepairedWhileTheFirstCopyHangs guards against a set that can't replace a
// second lost member while the successor of the first is copying.
func TestSecondLossIsRepairedWhileTheFirstCopyHangs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		writeRegister(t, n, first, "first")
		replaced := restartEmpty(n, nodeName(2), first)
		maintainers := make(map[string]*shard.Maintainer)
		for _, name := range n.names() {
			maintainers[name] = newTestMaintainer(n.process(name), endingLink{link{n, name}})
		}
		repairing, end := context.WithCancel(t.Context())
		defer waitFor(maintainers)
		defer end()
		n.delayCopies(nodeName(2), time.Hour)
		second := repairFor(repairing, n, maintainers, 10*time.Second)
		assert.Equal(t, second.Epoch, first.Epoch+1)
		assert.Equal(t, len(n.process(replaced.Node).replica.Unready()), 1, "n2 must still copy")
		writeRegister(t, n, second, "second")
		lostAt := time.Now()
		restartEmpty(n, nodeName(1), second)
		maintainers[nodeName(1)] = newTestMaintainer(n.process(nodeName(1)), endingLink{link{n, nodeName(1)}})
		// n1's new incarnation can copy at once; n0 holds all data.
		third := second
		for third.Epoch == second.Epoch && time.Since(lostAt) < 10*time.Minute {
			third = repairFor(repairing, n, maintainers, time.Second)
		}
		took := time.Since(lostAt)
		assert.Assert(t, third.Epoch > second.Epoch, "newest open epoch %d", third.Epoch)
		writeRegister(t, n, third, "third")
		assert.Assert(t, took < 10*time.Second, "the set was unavailable for %v", took)
	})
}

// TestReplaceGoesOnWhileAMemberCopies guards against a set that can't change because a member
// is copying the shard, although another holds it.
func TestReplaceGoesOnWhileAMemberCopies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n, first := newThreeMembers()
		writeRegister(t, n, first, "first")
		replaced := restartEmpty(n, nodeName(2), first)
		second := register.View{Epoch: first.Epoch + 1, Members: []register.Member{first.Members[0], first.Members[1], replaced}}
		changing, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		gated := gatedLink{link: link{n, "driver"}, gated: []string{replaced.Incarnation}, gate: make(chan struct{})}
		opened, err := newTestDriver(gated, first).Replace(changing, first, second.Members)
		assert.NilError(t, err)
		for _, member := range opened.Members {
			n.process(member.Node).views.Learn(opened)
		}
		// n2 copies until the end of the test.
		n.delayCopies(nodeName(2), time.Hour)
		copying, end := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			n.process(nodeName(2)).installer.Install(copying, shard.InstallRequest{Previous: first, Successor: second})
		}()
		time.Sleep(time.Second)
		third := []register.Member{first.Members[0], restartEmpty(n, nodeName(1), opened), replaced}
		recovering, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		_, err = newTestDriver(endingLink{link{n, "driver"}}, opened).Replace(recovering, opened, third)
		cancel()
		end()
		<-ended
		assert.NilError(t, err)
	})
}
