package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// recordingLink records how many turns each member holds when it is sealed, and which
// incarnations are asked to install.
type recordingLink struct {
	link
	mutex     sync.Mutex
	held      map[string]int
	installed map[string]bool
}

func (l *recordingLink) Seal(ctx context.Context, to register.Member, request shard.SealRequest) (archive.Reply, error) {
	held := countTurns(l.network.process(to.Node))
	l.mutex.Lock()
	l.held[to.Node] = held
	l.mutex.Unlock()
	return l.link.Seal(ctx, to, request)
}

func (l *recordingLink) Install(ctx context.Context, to register.Member, request shard.InstallRequest) (archive.Reply, error) {
	l.mutex.Lock()
	l.installed[to.Incarnation] = true
	l.mutex.Unlock()
	return l.link.Install(ctx, to, request)
}

func countTurns(p *process) int {
	count := 0
	_ = p.store.EachTurn(0, func(replica.Turn) error {
		count++
		return nil
	})
	return count
}

// TestRemainingMembersPrecopyTurns guards against sealing members that lack many turns, and
// against asking an ended incarnation, whose address belongs to the new one.
func TestRemainingMembersPrecopyTurns(t *testing.T) {
	const turns = 300
	n := newNetwork(1)
	n.instant = true
	var members []register.Member
	for index := range 5 {
		members = append(members, n.start(nodeName(index), "zone", nil).member)
	}
	first := register.View{Epoch: shard.FirstEpoch, Members: members}
	for i := range turns {
		turn := replica.Turn{Program: fmt.Sprint("turn", i), Sequence: 1, Object: []byte("object")}
		for copied := range first.Quorum() {
			p := n.process(members[(i+copied)%len(members)].Node)
			assert.NilError(t, p.store.PutTurn(0, turn))
		}
	}
	for _, member := range members {
		n.process(member.Node).views.Learn(first)
	}
	restarted := members[4]
	restartedProcess := n.start(restarted.Node, "zone", nil)
	restartedProcess.views.Learn(first)
	recorder := &recordingLink{link: link{n, "driver"}, held: make(map[string]int), installed: make(map[string]bool)}
	views := shard.NewMap(1)
	views.Learn(first)
	driver := shard.NewDriver("driver", recorder, views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
	wanted := append(append([]register.Member(nil), members[:4]...), restartedProcess.member)
	opened, err := driver.Drive(t.Context(), first, wanted)
	assert.NilError(t, err)
	assert.Equal(t, opened.Epoch, first.Epoch+1)
	for _, member := range wanted[:4] {
		assert.Equal(t, recorder.held[member.Node], turns, member.Node)
	}
	assert.Equal(t, countTurns(restartedProcess), turns)
	assert.Assert(t, !recorder.installed[restarted.Incarnation])
}

// blockingSource returns empty listings, each once it is released.
type blockingSource struct {
	started chan uint32
	release chan struct{}
}

func (s blockingSource) Pull(_ context.Context, _ register.Member, request shard.PullRequest, _ func(shard.PullItem) error) (archive.Reply, error) {
	s.started <- request.Fence.Shard
	<-s.release
	return archive.Reply{}, nil
}

// TestPrecopyHandlesOneShardAtATime guards against precopying several shards at once, which
// would take capacity from requests.
func TestPrecopyHandlesOneShardAtATime(t *testing.T) {
	const shards = 4
	views := shard.NewMap(shards)
	local := shard.NewReplica("new", replica.NewMemory(), views, func() uint64 { return 0 })
	source := blockingSource{started: make(chan uint32, 3*shards), release: make(chan struct{})}
	installer := shard.NewInstaller(local, source, zap.NewNop())
	member := func(name string) register.Member { return register.Member{Node: name, Incarnation: name} }
	var installs sync.WaitGroup
	for number := range uint32(shards) {
		previous := register.View{Shard: number, Epoch: 1, Members: []register.Member{member("a"), member("b"), member("c")}}
		successor := register.View{Shard: number, Epoch: 2, Members: []register.Member{member("a"), member("b"), member("new")}}
		installs.Go(func() {
			reply := installer.Install(t.Context(), shard.InstallRequest{Previous: previous, Successor: successor, TurnsOnly: true})
			assert.Check(t, reply.Refusal == register.RefusalNone)
		})
	}
	copied := make(map[uint32]bool)
	for range shards {
		first, second := <-source.started, <-source.started
		assert.Equal(t, first, second, "listings of two shards at the same time")
		assert.Assert(t, !copied[first])
		copied[first] = true
		assert.Equal(t, len(source.started), 0, "another shard is copied at the same time")
		source.release <- struct{}{}
		source.release <- struct{}{}
	}
	installs.Wait()
}
