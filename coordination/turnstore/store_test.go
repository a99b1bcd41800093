package turnstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

var errDown = errors.New("no answer")

// members implements turnstore.Replicas with replicas in memory, each in its own zone.
type members struct {
	mutex  sync.Mutex
	turns  map[string]map[string]replica.Turn
	down   map[string]bool
	writes int
	// refused counts requests to members that are down.
	refused int
	reads   []string
	// answerDelay is the time that each member takes to answer.
	answerDelay time.Duration
	// silentMember is the name of a member that doesn't answer writes.
	silentMember string
}

// turnKey returns the key of a turn, from its shard and id.
func turnKey(fence register.Fence, id string) string { return fmt.Sprintf("%d/%s", fence.Shard, id) }

func (m *members) PutTurn(ctx context.Context, member register.Member, fence register.Fence, stored replica.Turn) (archive.Reply, error) {
	time.Sleep(m.answerDelay)
	if m.silentMember == member.Node {
		<-ctx.Done()
		return archive.Reply{}, ctx.Err()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down[member.Node] {
		m.refused++
		return archive.Reply{}, errDown
	}
	m.writes++
	m.turns[member.Node][turnKey(fence, stored.Program)] = stored
	return archive.Reply{}, nil
}

func (m *members) ReadMany(_ context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	time.Sleep(m.answerDelay)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down[member.Node] {
		return nil, archive.Reply{}, errDown
	}
	m.reads = append(m.reads, member.Node)
	var found []replica.Turn
	for _, id := range ids {
		if stored, exists := m.turns[member.Node][turnKey(fence, id)]; exists {
			found = append(found, stored)
		}
	}
	return found, archive.Reply{}, nil
}

// views adapts shard.Map to turnstore.Views.
type views struct{ *shard.Map }

func (v views) Shards() uint32 { return v.Count() }

func newMembers(shards uint32) (*members, views) {
	m := &members{turns: make(map[string]map[string]replica.Turn), down: make(map[string]bool)}
	known := shard.NewMap(shards)
	var all []register.Member
	for index := range 3 {
		name := fmt.Sprint("m", index)
		m.turns[name] = make(map[string]replica.Turn)
		all = append(all, register.Member{Node: name, Address: name, Zone: fmt.Sprint("z", index), Incarnation: name})
	}
	for number := range shards {
		known.Learn(register.View{Shard: number, Epoch: 1, Members: all})
	}
	return m, views{known}
}

func newStore(t testingT, zone string, m *members, v views) *turnstore.Store {
	store, err := turnstore.New(zone, m, v, reach.New(time.Now), 1<<20)
	assert.NilError(t, err)
	return store
}

// testingT is the common interface of testing.T and rapid.T that newStore needs.
type testingT interface {
	Helper()
	Log(...any)
	FailNow()
	Fail()
}

func shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 200*time.Millisecond)
}

func Example() {
	m, v := newMembers(1)
	writer, _ := turnstore.New("z0", m, v, reach.New(time.Now), 1<<20)
	reader, _ := turnstore.New("z1", m, v, reach.New(time.Now), 1<<20)
	ctx := context.Background()
	first := &statev1.RetainedTurn{Id: "a", Input: []byte("question")}
	_ = writer.Put(ctx, "p", first, nil)
	_ = writer.Put(ctx, "p", &statev1.RetainedTurn{Id: "b", Ancestors: []string{"a"}}, []*statev1.RetainedTurn{first})
	line, err := reader.History(ctx, "p", "b")
	fmt.Println(len(line), line[0].GetId(), line[1].GetId(), err)
	// Output: 2 a b <nil>
}

// TestLineSurvivesLossOfAnyMember guards against losing a stored turn or its ancestors with any
// one member. Virtual time avoids hedges, which would write a third copy.
func TestLineSurvivesLossOfAnyMember(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, v := newMembers(3)
		writer := newStore(rt, rapid.SampledFrom([]string{"z0", "z1", "z2", "none"}).Draw(rt, "writer"), m, v)
		reader := newStore(rt, "z1", m, v)
		programs := rapid.SliceOfN(rapid.SampledFrom([]string{"p", "q"}), 1, 6).Draw(rt, "programs")
		lost := fmt.Sprint("m", rapid.IntRange(0, 2).Draw(rt, "lost"))
		var line []*statev1.RetainedTurn
		var putErr, lineErr error
		bubble.Test(t, func(*testing.T) {
			if putErr = putTurns(writer, programs); putErr != nil {
				return
			}
			// A replica that lost its data has a new incarnation and refuses requests.
			m.down[lost] = true
			line, lineErr = reader.History(context.Background(), "p", fmt.Sprint("turn", len(programs)-1))
		})
		assert.NilError(rt, putErr)
		assert.Equal(rt, m.writes, 2*len(programs), "each turn is written to two of three members")
		assert.NilError(rt, lineErr)
		for index, found := range line {
			assert.Equal(rt, found.GetId(), fmt.Sprint("turn", index))
			assert.Equal(rt, len(found.GetOutput()), index)
		}
	})
}

// putTurns stores one turn for each of the programs, each a child of the previous one. The
// length of a turn's output is its index.
func putTurns(writer *turnstore.Store, programs []string) error {
	var ancestors []string
	var line []*statev1.RetainedTurn
	for index, program := range programs {
		id := fmt.Sprint("turn", index)
		turn := &statev1.RetainedTurn{
			Id: id, Ancestors: append([]string(nil), ancestors...), Input: []byte(id), Output: bytes.Repeat([]byte("x"), index),
		}
		if err := writer.Put(context.Background(), program, turn, line); err != nil {
			return err
		}
		ancestors, line = append(ancestors, id), append(line, turn)
	}
	return nil
}

// TestUnknownNeedsAQuorum checks that a missing turn is reported as unknown only if a
// quorum has answered.
func TestUnknownNeedsAQuorum(t *testing.T) {
	m, v := newMembers(2)
	store := newStore(t, "z0", m, v)
	_, err := store.History(context.Background(), "p", "none")
	assert.ErrorIs(t, err, turnstore.ErrTurnNotFound)
	m.down["m1"] = true
	_, err = store.History(context.Background(), "p", "none")
	assert.ErrorIs(t, err, turnstore.ErrTurnNotFound, "two of three members are a quorum")
	m.down["m0"] = true
	ctx, cancel := shortContext()
	defer cancel()
	_, err = store.History(ctx, "p", "none")
	assert.ErrorIs(t, err, turnstore.ErrNoQuorum)
}

// TestLackingAncestorIsNoUnknownTurn guards against a stored turn that is reported as unknown
// because one of its ancestors is lacking: the turn exists, and members fetch what they lack.
func TestLackingAncestorIsNoUnknownTurn(t *testing.T) {
	m, v := newMembers(2)
	writer := newStore(t, "z0", m, v)
	assert.NilError(t, putTurns(writer, []string{"p", "p"}))
	lacking := make(map[string]replica.Turn)
	key := turnKey(register.Fence{Shard: v.Locate("p")}, "turn0")
	for name, stored := range m.turns {
		if copied, exists := stored[key]; exists {
			lacking[name] = copied
			delete(stored, key)
		}
	}
	reader := newStore(t, "z0", m, v)
	_, err := reader.History(t.Context(), "p", "turn1")
	assert.ErrorIs(t, err, turnstore.ErrChainIncomplete)
	assert.Assert(t, !errors.Is(err, turnstore.ErrTurnNotFound), "%v", err)
	for name, copied := range lacking {
		m.turns[name][key] = copied
	}
	line, err := reader.History(t.Context(), "p", "turn1")
	assert.NilError(t, err)
	assert.Equal(t, len(line), 2)
}

// TestPutNeedsAQuorum checks that Put uses other members if the preferred ones fail, and
// that it fails without a quorum.
func TestPutNeedsAQuorum(t *testing.T) {
	m, v := newMembers(1)
	store := newStore(t, "z0", m, v)
	m.down["m0"] = true
	assert.NilError(t, store.Put(context.Background(), "p", &statev1.RetainedTurn{Id: "a"}, nil))
	m.down["m1"] = true
	ctx, cancel := shortContext()
	defer cancel()
	assert.ErrorIs(t, store.Put(ctx, "p", &statev1.RetainedTurn{Id: "b"}, nil), turnstore.ErrNoQuorum)
}

// TestNearestIsAskedFirst checks that only the nearest member is read if it has the turn.
func TestNearestIsAskedFirst(t *testing.T) {
	m, v := newMembers(1)
	assert.NilError(t, newStore(t, "z2", m, v).Put(context.Background(), "p", &statev1.RetainedTurn{Id: "a"}, nil))
	_, err := newStore(t, "z2", m, v).History(context.Background(), "p", "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, m.reads, []string{"m2"})
}

// TestDamagedCopyIsIgnored checks that another member's copy is read in place of a damaged
// one.
func TestDamagedCopyIsIgnored(t *testing.T) {
	m, v := newMembers(1)
	assert.NilError(t, newStore(t, "z0", m, v).Put(context.Background(), "p", &statev1.RetainedTurn{Id: "a", Input: []byte("right")}, nil))
	damaged := m.turns["m0"]["0/a"]
	damaged.Object = append([]byte{1}, damaged.Object...)
	m.turns["m0"]["0/a"] = damaged
	line, err := newStore(t, "z0", m, v).History(context.Background(), "p", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(line[0].GetInput()), "right")
}

// lateViews is views that are unknown until the first call of View, as on a gateway that
// receives requests while it starts.
type lateViews struct {
	views
	known *atomic.Bool
}

func (v lateViews) Shards() uint32 {
	if !v.known.Load() {
		return 0
	}
	return v.views.Shards()
}

func (v lateViews) Locate(program string) uint32 {
	if !v.known.Load() {
		return 0
	}
	return v.views.Locate(program)
}

func (v lateViews) View(number uint32) (register.View, bool) {
	if !v.known.Swap(true) {
		return register.View{}, false
	}
	return v.views.View(number)
}

// TestWaitsForReplicaSets checks that the shard of a turn is determined only once the
// replica sets are known.
func TestWaitsForReplicaSets(t *testing.T) {
	for index := range 16 {
		program := fmt.Sprint("program", index)
		m, v := newMembers(8)
		assert.NilError(t, newStore(t, "z0", m, v).Put(context.Background(), program, &statev1.RetainedTurn{Id: "a"}, nil))
		late := lateViews{views: v, known: &atomic.Bool{}}
		reader, err := turnstore.New("z0", m, late, reach.New(time.Now), 1<<20)
		assert.NilError(t, err)
		time.AfterFunc(20*time.Millisecond, func() { late.known.Store(true) })
		line, err := reader.History(context.Background(), program, "a")
		assert.NilError(t, err, program)
		assert.Equal(t, len(line), 1)
	}
}

// TestSlowMembersGetNoMoreRequests checks that hedges stay within their budget when all
// members are slow, so that they don't add to an overload.
func TestSlowMembersGetNoMoreRequests(t *testing.T) {
	const turns = 200
	bubble.Test(t, func(t *testing.T) {
		m, v := newMembers(1)
		m.answerDelay = 300 * time.Millisecond
		store, reader := newStore(t, "z0", m, v), newStore(t, "z0", m, v)
		allAtOnce(turns, func(i int) {
			assert.Check(t, store.Put(context.Background(), "p", &statev1.RetainedTurn{Id: fmt.Sprint("t", i)}, nil))
		})
		assert.Assert(t, m.writes <= 2*turns*11/10, "%d copies of %d turns were written, two each are needed", m.writes, turns)
		allAtOnce(turns, func(i int) {
			_, err := reader.History(context.Background(), "p", fmt.Sprint("t", i))
			assert.Check(t, err)
		})
		assert.Assert(t, len(m.reads) <= turns*12/10, "%d reads of %d turns", len(m.reads), turns)
	})
}

// allAtOnce calls f concurrently the given number of times and returns once the calls and
// the requests that they started have ended.
func allAtOnce(times int, f func(i int)) {
	var calls sync.WaitGroup
	for i := range times {
		calls.Go(func() { f(i) })
	}
	calls.Wait()
	time.Sleep(time.Second)
	synctest.Wait()
}

// TestSilentMemberIsAskedLast checks that only one write waits for a member that doesn't
// answer; later ones ask it last.
func TestSilentMemberIsAskedLast(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m, v := newMembers(1)
		m.silentMember = "m0"
		store := newStore(t, "z0", m, v)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began := time.Now()
		assert.NilError(t, store.Put(ctx, "p", &statev1.RetainedTurn{Id: "a"}, nil))
		assert.Equal(t, time.Since(began), 150*time.Millisecond)
		for i := range 10 {
			began = time.Now()
			assert.NilError(t, store.Put(ctx, "p", &statev1.RetainedTurn{Id: fmt.Sprint(i)}, nil))
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
	})
}

// TestRefusedRoundsBackOff checks that rounds are retried with backoff while the
// members of a replica set refuse requests, as during a change of the set.
func TestRefusedRoundsBackOff(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m, v := newMembers(1)
		for name := range m.turns {
			m.down[name] = true
		}
		store := newStore(t, "z0", m, v)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		assert.ErrorIs(t, store.Put(ctx, "p", &statev1.RetainedTurn{Id: "a"}, nil), turnstore.ErrNoQuorum)
		synctest.Wait()
		assert.Assert(t, m.refused <= 3*25, "%d requests in 4 s", m.refused)
		clear(m.down)
		assert.NilError(t, store.Put(t.Context(), "p", &statev1.RetainedTurn{Id: "a"}, nil))
	})
}

// TestOtherShardsAreReadConcurrently guards against reading other shards one after the other,
// which makes lookups of unknown turns time out.
func TestOtherShardsAreReadConcurrently(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m, v := newMembers(8)
		m.answerDelay = 70 * time.Millisecond
		began := time.Now()
		_, err := newStore(t, "z0", m, v).History(t.Context(), "p", "none")
		assert.ErrorIs(t, err, turnstore.ErrTurnNotFound)
		assert.Equal(t, time.Since(began), 3*m.answerDelay, "two members of the home shard one after the other, then all other shards concurrently")
		assert.Equal(t, len(m.reads), 2*8, "two reads for each shard")
	})
}

// TestTurnIsFoundInAnotherShard checks that a turn is found in a shard other than the
// program's own.
func TestTurnIsFoundInAnotherShard(t *testing.T) {
	m, v := newMembers(2)
	other := "q"
	for v.Locate(other) == v.Locate("p") {
		other += "q"
	}
	assert.NilError(t, newStore(t, "z0", m, v).Put(t.Context(), other, &statev1.RetainedTurn{Id: "a"}, nil))
	line, err := newStore(t, "z1", m, v).History(t.Context(), "p", "a")
	assert.NilError(t, err)
	assert.Equal(t, line[0].GetId(), "a")
}

// TestUnreadableShardEndsTheLookup checks that the time limit of a shard's read ends the
// lookup even if the caller's context allows more time.
func TestUnreadableShardEndsTheLookup(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m, v := newMembers(2)
		m.down["m0"], m.down["m1"] = true, true
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := newStore(t, "z2", m, v).History(ctx, "p", "none")
		assert.ErrorIs(t, err, turnstore.ErrNoQuorum)
		assert.Equal(t, time.Since(began), 800*time.Millisecond)
	})
}

// TestUnknownReplicaSetsEndTheLookup checks that a lookup waits no longer for unknown
// replica sets than for a shard that can't be read.
func TestUnknownReplicaSetsEndTheLookup(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m, _ := newMembers(1)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := newStore(t, "z0", m, views{shard.NewMap(0)}).History(ctx, "p", "none")
		assert.ErrorIs(t, err, turnstore.ErrNoQuorum)
		assert.Equal(t, time.Since(began), 800*time.Millisecond)
	})
}
