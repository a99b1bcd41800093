package archive_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/replica"
)

var errDown = errors.New("member is down")

// cluster simulates a shard of three members, each with a store in memory.
type cluster struct {
	mutex  sync.Mutex
	stores map[string]replica.Store
	down   map[string]bool
	epoch  uint64
	view   register.View
}

func newCluster() *cluster {
	c := &cluster{stores: map[string]replica.Store{}, down: map[string]bool{}, epoch: 1, view: register.View{Epoch: 1}}
	for _, name := range []string{"a", "b", "c"} {
		c.stores[name] = replica.NewMemory()
		c.view.Members = append(c.view.Members, register.Member{Node: name, Incarnation: name})
	}
	return c
}

func (c *cluster) setDown(name string, down bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down[name] = down
}

func (c *cluster) checkRequest(member register.Member, fence register.Fence) (archive.Reply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down[member.Node] {
		return archive.Reply{}, errDown
	}
	if fence.Epoch != c.epoch {
		newer := c.view
		newer.Epoch = c.epoch
		return archive.Reply{Refusal: register.RefusalEpoch, View: &newer}, nil
	}
	return archive.Reply{}, nil
}

func (c *cluster) PutTurn(_ context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	reply, err := c.checkRequest(member, fence)
	if err != nil || reply.Refusal != register.RefusalNone {
		return reply, err
	}
	return reply, c.stores[member.Node].PutTurn(0, turn)
}

func (c *cluster) ReadTurns(_ context.Context, member register.Member, fence register.Fence, program string, from uint64) ([]replica.Turn, archive.Reply, error) {
	reply, err := c.checkRequest(member, fence)
	if err != nil || reply.Refusal != register.RefusalNone {
		return nil, reply, err
	}
	var turns []replica.Turn
	err = c.stores[member.Node].ReadTurns(0, program, from, func(turn replica.Turn) error {
		turns = append(turns, turn)
		return nil
	})
	return turns, reply, err
}

func (c *cluster) View(uint32) (register.View, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view, true
}

func (c *cluster) Learn(view register.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view = view
}

func (c *cluster) ConfigurationVersion() uint64 { return 0 }

func (c *cluster) archive() *archive.Archive {
	return archive.New(c, c, func(string) uint32 { return 0 }, history.NewCache(1<<20))
}

// writeChain stores a chain of turns and returns the digest of the newest one.
func writeChain(t *testing.T, a *archive.Archive, program string, turns int) []byte {
	t.Helper()
	var head []byte
	for sequence := range turns {
		digest, err := a.Put(t.Context(), &statev1.Turn{
			Program: program, Sequence: uint64(sequence + 1), Previous: head,
			Messages: []byte(fmt.Sprintf(`[{"role":"user","content":"%d"}]`, sequence)),
			Answer:   []byte(`{"role":"assistant","content":"yes"}`),
		})
		assert.NilError(t, err)
		head = digest
	}
	return head
}

// waitStored waits until all members have the turns. Put returns once a majority has
// them, while the last write may still be running.
func (c *cluster) waitStored(t *testing.T, turns int) {
	t.Helper()
	for _, store := range c.stores {
		for found := 0; found < turns; {
			found = 0
			assert.NilError(t, store.EachTurn(0, func(replica.Turn) error { found++; return nil }))
			time.Sleep(time.Millisecond)
		}
	}
}

func TestChainIsReadBackFromAnyMember(t *testing.T) {
	c := newCluster()
	head := writeChain(t, c.archive(), "p-1", 5)
	c.waitStored(t, 5)
	for _, up := range []string{"a", "b", "c"} {
		for name := range c.stores {
			c.setDown(name, name != up)
		}
		chain, err := c.archive().Chain(t.Context(), "p-1", head)
		assert.NilError(t, err)
		assert.Equal(t, len(chain.Messages()), 10)
	}
}

func TestPutNeedsAMajority(t *testing.T) {
	c := newCluster()
	c.setDown("a", true)
	head := writeChain(t, c.archive(), "p-1", 1)
	assert.Assert(t, len(head) > 0)
	c.setDown("b", true)
	_, err := c.archive().Put(t.Context(), &statev1.Turn{Program: "p-1", Sequence: 2, Previous: head})
	assert.ErrorIs(t, err, archive.ErrNoQuorum)
}

func TestChainWithMissingTurnIsIncomplete(t *testing.T) {
	c := newCluster()
	head := writeChain(t, c.archive(), "p-1", 3)
	c.waitStored(t, 3)
	// Remove the middle turn from every member. No write is running any more, so the
	// stores can be replaced.
	for name, store := range c.stores {
		kept := replica.NewMemory()
		assert.NilError(t, store.EachTurn(0, func(turn replica.Turn) error {
			if turn.Sequence == 2 {
				return nil
			}
			return kept.PutTurn(0, turn)
		}))
		c.stores[name] = kept
	}
	_, err := c.archive().Chain(t.Context(), "p-1", head)
	assert.ErrorIs(t, err, archive.ErrIncomplete)
}

func TestReadWithAllMembersDownIsNoQuorum(t *testing.T) {
	c := newCluster()
	head := writeChain(t, c.archive(), "p-1", 1)
	for name := range c.stores {
		c.setDown(name, true)
	}
	_, err := c.archive().Turn(t.Context(), "p-1", 1, head)
	assert.ErrorIs(t, err, archive.ErrNoQuorum)
}

func TestRetryUsesNewerView(t *testing.T) {
	c := newCluster()
	c.epoch = 2
	a := c.archive()
	head := writeChain(t, a, "p-1", 1)
	turn, err := c.archive().Turn(t.Context(), "p-1", 1, head)
	assert.NilError(t, err)
	assert.Equal(t, turn.GetSequence(), uint64(1))
	assert.Equal(t, c.view.Epoch, uint64(2))
}
