package register_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/test/bubble"
)

// hedgeDelay is the time after which these tests ask another member.
const hedgeDelay = 50 * time.Millisecond

// slowCluster is a memoryCluster whose members take a fixed time to answer.
type slowCluster struct {
	*memoryCluster
	latency time.Duration
	// silent holds the members that don't answer until the context ends.
	silent map[string]bool
}

func (c *slowCluster) wait(ctx context.Context, member register.Member) error {
	if c.silent[member.Node] {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(c.latency)
	return nil
}

func (c *slowCluster) Prepare(ctx context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	if err := c.wait(ctx, member); err != nil {
		return register.PrepareReply{}, err
	}
	return c.memoryCluster.Prepare(ctx, member, request)
}

func (c *slowCluster) Accept(ctx context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	if err := c.wait(ctx, member); err != nil {
		return register.AcceptReply{}, err
	}
	return c.memoryCluster.Accept(ctx, member, request)
}

func newSlowCluster() *slowCluster {
	c := &slowCluster{memoryCluster: newMemoryCluster("a", "b", "c", "d", "e"), silent: make(map[string]bool)}
	for i := range c.clientView.Members {
		c.clientView.Members[i].Address = c.clientView.Members[i].Node
	}
	c.memberView = c.clientView
	return c
}

func newThriftyClient(incarnation string, transport register.Transport, views register.Views) *register.Client {
	settings := register.DefaultSettings()
	settings.BackoffBase = time.Microsecond
	settings.ThriftyQuorum = &register.ThriftyQuorum{
		HedgeDelay: hedgeDelay, Reach: reach.New(time.Now), HedgeBudget: limit.NewRetryBudget(limit.DefaultHedgePolicy(), time.Now()), Now: time.Now,
	}
	return register.NewClient(incarnation, transport, views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings)
}

// TestThriftyRoundAsksAMajority checks that a change asks three of five members, and that
// the next change of the key asks the same ones, even through another client.
func TestThriftyRoundAsksAMajority(t *testing.T) {
	cluster := newSlowCluster()
	client := newThriftyClient("client", cluster, cluster)
	_, err := client.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	prepares, accepts, _ := cluster.counts()
	assert.Equal(t, prepares, 3)
	assert.Equal(t, accepts, 3)
	value, err := newThriftyClient("other", cluster, cluster).Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	assert.Equal(t, string(value), "2")
	holding := 0
	for _, member := range cluster.members {
		holding += len(member.registers)
	}
	assert.Equal(t, holding, 3)
}

// TestThriftyRoundToleratesTwoSilentMembers checks that silent members are replaced by
// others and asked last from then on.
func TestThriftyRoundToleratesTwoSilentMembers(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for first := range names {
		for second := range first {
			bubble.Test(t, func(t *testing.T) {
				cluster := newSlowCluster()
				cluster.silent[names[first]], cluster.silent[names[second]] = true, true
				client := newThriftyClient("client", cluster, cluster)
				for i := range 20 {
					started := time.Now()
					_, err := client.Apply(t.Context(), 0, fmt.Sprint("key", i), increment)
					assert.NilError(t, err)
					took := time.Since(started)
					assert.Assert(t, took <= 4*hedgeDelay, "change %d took %s", i, took)
					assert.Assert(t, i < 8 || took == 0, "change %d took %s though both are known to be silent", i, took)
				}
				time.Sleep(10 * time.Second)
			})
		}
	}
}

// TestSlowMembersAreHedgedWithinTheBudget checks that if all members are slow, and thus
// overloaded, hedging sends few additional requests.
func TestSlowMembersAreHedgedWithinTheBudget(t *testing.T) {
	const changes = 300
	bubble.Test(t, func(t *testing.T) {
		cluster := newSlowCluster()
		cluster.latency = 2 * hedgeDelay
		client := newThriftyClient("client", cluster, cluster)
		var calls sync.WaitGroup
		for i := range changes {
			calls.Go(func() {
				_, err := client.Apply(t.Context(), 0, fmt.Sprint("key", i), increment)
				assert.Check(t, err)
			})
		}
		calls.Wait()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		prepares, accepts, _ := cluster.counts()
		assert.Assert(t, prepares+accepts <= 2*3*changes*11/10, "%d requests for %d changes", prepares+accepts, changes)
	})
}
