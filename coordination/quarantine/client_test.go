package quarantine

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/test/harness"
)

// newGateway returns a client that asks the members once.
func newGateway(c *cluster) *Client {
	gateway := NewClient(FollowerID(c.nextID()), c, c, c.clock, zap.NewNop())
	gateway.findTimeout = 0
	return gateway
}

// TestUnknownRequestsCostNoMessage guards against a message for each request.
func TestUnknownRequestsCostNoMessage(t *testing.T) {
	c := newCluster(3)
	messages := 0
	c.lose = func(string) (bool, bool) {
		messages++
		return false, false
	}
	gateway := newGateway(c)
	assert.Assert(t, gateway.NeedsCheck(), "it has just started")
	for _, address := range c.members {
		gateway.copies.apply(address, Changes{IsFull: true})
	}
	assert.Assert(t, !gateway.NeedsCheck())
	assert.Equal(t, gateway.Suspicion(t.Context(), request).Crashes, 0)
	gateway.Completed(t.Context(), request)
	assert.Equal(t, messages, 0)
}

// TestCrashesAtOtherGatewaysAreKnown checks that a crash that one gateway reports is known at
// the others, also of those that start later, until a try is completed.
func TestCrashesAtOtherGatewaysAreKnown(t *testing.T) {
	nodes := pacedNodes{newCluster(3)}
	newFollowing := func() *Client {
		gateway := NewClient(FollowerID(nodes.nextID()), nodes, nodes, time.Now, zap.NewNop())
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = gateway.Follower().Serve(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-ended
		})
		return gateway
	}
	awaitCrashes := func(gateway *Client, crashes int) {
		t.Helper()
		harness.Eventually(t, func() (bool, string) {
			known := gateway.Suspicion(t.Context(), request).Crashes
			return known == crashes, fmt.Sprintf("%d crashes in place of %d", known, crashes)
		})
	}
	first, second := newFollowing(), newFollowing()
	assert.Equal(t, first.Report(t.Context(), crashAt("i-1", 0)).Crashes, 1)
	awaitCrashes(second, 1)
	assert.Equal(t, second.Report(t.Context(), crashAt("i-2", 0)).Crashes, 2)
	awaitCrashes(first, 2)
	awaitCrashes(newFollowing(), 2)
	first.Completed(t.Context(), request)
	awaitCrashes(first, 0)
	awaitCrashes(second, 0)
	// The second gateway has seen a crash before, which is forgotten.
	assert.Equal(t, second.Report(t.Context(), crashAt("i-3", 0)).Crashes, 1)
}

// pacedNodes answers calls for changes after a pause.
type pacedNodes struct{ *cluster }

func (n pacedNodes) WatchCrashes(ctx context.Context, address string, follower FollowerID, from Cursor, wait time.Duration) (Changes, error) {
	time.Sleep(time.Millisecond)
	return n.cluster.WatchCrashes(ctx, address, follower, from, wait)
}

// TestStartingGatewayAsks guards against a gateway that sends a quarantined request since it
// has just started, and against one that asks for ever where no storage node answers.
func TestStartingGatewayAsks(t *testing.T) {
	c := newCluster(3)
	other := newGateway(c)
	for number := range MaxCrashes {
		other.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0))
	}
	other.running.Wait()
	started := newGateway(c)
	assert.Equal(t, started.Suspicion(t.Context(), request).Crashes, MaxCrashes)
	started.running.Wait()
	assert.Assert(t, started.NeedsCheck())
	c.now = c.now.Add(learningTime)
	assert.Assert(t, !started.NeedsCheck())
}

// TestGatewayThatLearnsTheReplicaSetsLateAsks guards against a gateway that sends a quarantined
// request since the store kept the replica sets from it for longer than learningTime after its start.
func TestGatewayThatLearnsTheReplicaSetsLateAsks(t *testing.T) {
	c := newCluster(3)
	other := newGateway(c)
	for number := range MaxCrashes {
		other.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0))
	}
	other.running.Wait()
	c.isUnlisted.Store(true)
	started := newGateway(c)
	c.now = c.now.Add(learningTime)
	assert.Assert(t, !started.NeedsCheck(), "nobody can be asked")
	c.isUnlisted.Store(false)
	assert.Assert(t, started.NeedsCheck())
	assert.Equal(t, started.Suspicion(t.Context(), request).Crashes, MaxCrashes)
	started.running.Wait()
	c.now = c.now.Add(learningTime)
	assert.Assert(t, !started.NeedsCheck())
}

// TestStartingGatewayAwaitsMajority guards against a gateway that sends a quarantined request
// since it doesn't know the storage nodes yet, or since these don't answer at once.
func TestStartingGatewayAwaitsMajority(t *testing.T) {
	const delay = 150 * time.Millisecond
	for name, disturb := range map[string]func(c *cluster) Nodes{
		"replica sets known late": func(c *cluster) Nodes {
			c.isUnlisted.Store(true)
			time.AfterFunc(delay, func() { c.isUnlisted.Store(false) })
			return c
		},
		"messages lost": func(c *cluster) Nodes {
			lost := 0
			c.lose = func(string) (bool, bool) {
				lost++
				return lost <= 4*len(c.members), false
			}
			return c
		},
		"answers late": func(c *cluster) Nodes { return slowNodes{c, delay} },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3)
			other := newGateway(c)
			for number := range MaxCrashes {
				other.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0))
			}
			other.running.Wait()
			started := NewClient(FollowerID(c.nextID()), disturb(c), c, c.clock, zap.NewNop())
			assert.Assert(t, started.NeedsCheck())
			assert.Equal(t, started.Suspicion(t.Context(), request).Crashes, MaxCrashes)
			started.running.Wait()
		})
	}
}

// slowNodes answers questions after a delay.
type slowNodes struct {
	*cluster
	delay time.Duration
}

func (n slowNodes) FindCrashes(ctx context.Context, address string, fingerprint Fingerprint) (Record, error) {
	if err := sleep.For(ctx, n.delay); err != nil {
		return Record{}, err
	}
	return n.cluster.FindCrashes(ctx, address, fingerprint)
}

// TestGatewayWithoutStorageNodesAsksNobody guards against a delay of requests where there are
// no storage nodes.
func TestGatewayWithoutStorageNodesAsksNobody(t *testing.T) {
	assert.Assert(t, !newGateway(newCluster(0)).NeedsCheck())
}

// TestResumedGatewayAsks guards against a gateway that sends a quarantined request since its
// machine stood still while others reported the crashes.
func TestResumedGatewayAsks(t *testing.T) {
	c := newCluster(3)
	frozen, other := newGateway(c), newGateway(c)
	for _, address := range c.members {
		frozen.learn(t.Context(), address, Changes{IsFull: true})
	}
	frozen.tick()
	for number := range MaxCrashes {
		c.now = c.now.Add(stallTime / MaxCrashes)
		other.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0))
		other.running.Wait()
	}
	assert.Equal(t, frozen.Suspicion(t.Context(), request).Crashes, MaxCrashes, "the follower hasn't run yet")
	frozen.running.Wait()
	frozen.tick()
	assert.Equal(t, frozen.Suspicion(t.Context(), request).Crashes, MaxCrashes, "the copies aren't up to date yet")
	frozen.running.Wait()
	c.now = c.now.Add(catchUpTime)
	assert.Assert(t, !frozen.NeedsCheck())
}

// TestUnconfirmedCrashAddsToKnownOnes guards against a gateway that forgets the crashes at
// others since no storage node has confirmed its own report.
func TestUnconfirmedCrashAddsToKnownOnes(t *testing.T) {
	c := newCluster(3)
	cutOff, other := newGateway(c), newGateway(c)
	for number := range MaxCrashes - 1 {
		other.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0))
	}
	other.running.Wait()
	last := crashAt("last", 0)
	last.Known = cutOff.Suspicion(t.Context(), request).Crashes
	assert.Equal(t, last.Known, MaxCrashes-1)
	cutOff.running.Wait()
	c.lose = func(string) (bool, bool) { return true, false }
	assert.Equal(t, cutOff.Report(t.Context(), last).Crashes, MaxCrashes)
	assert.Equal(t, cutOff.Suspicion(t.Context(), request).Crashes, MaxCrashes)
}

// TestClearedRequestForgetsUnconfirmedCrashes guards against crashes that a gateway counts
// for itself and keeps after the request was completed at another one, or cleared by an operator.
func TestClearedRequestForgetsUnconfirmedCrashes(t *testing.T) {
	c := newCluster(3)
	cutOff, other := newGateway(c), newGateway(c)
	other.Report(t.Context(), crashAt("i-1", 0))
	other.running.Wait()
	c.lose = func(string) (bool, bool) { return true, false }
	assert.Equal(t, cutOff.Report(t.Context(), crashAt("i-2", 0)).Crashes, 1)
	cutOff.running.Wait()
	c.lose = func(string) (bool, bool) { return false, false }
	assert.Equal(t, cutOff.Suspicion(t.Context(), request).Crashes, 1)
	cutOff.running.Wait()
	other.Completed(t.Context(), request)
	other.running.Wait()
	for _, address := range c.members {
		changes, err := c.WatchCrashes(t.Context(), address, cutOff.id, Cursor{}, 0)
		assert.NilError(t, err)
		cutOff.learn(t.Context(), address, changes)
	}
	assert.Equal(t, cutOff.Suspicion(t.Context(), request).Crashes, 0)
	c.lose = func(string) (bool, bool) { return true, false }
	assert.Equal(t, cutOff.Report(t.Context(), crashAt("i-3", 0)).Crashes, 1)
}

// TestCrashIsReportedAgainAfterPause guards against a crash that other gateways don't learn
// of since the process stood still while it reported it.
func TestCrashIsReportedAgainAfterPause(t *testing.T) {
	c := newCluster(3)
	frozen, other := newGateway(c), newGateway(c)
	frozen.tick()
	lost := 0
	c.lose = func(string) (bool, bool) {
		lost++
		if lost == 1 {
			c.now = c.now.Add(stallTime)
		}
		return lost <= len(c.members), false
	}
	assert.Equal(t, frozen.Report(t.Context(), crashAt("i-1", 0)).Crashes, 1)
	frozen.running.Wait()
	assert.Equal(t, other.Suspicion(t.Context(), request).Crashes, 1)
}

// TestRestartedNodesLearnCrashes guards against a quarantine that ends since all storage nodes
// were restarted at the same time.
func TestRestartedNodesLearnCrashes(t *testing.T) {
	c := newCluster(3)
	gateways := []*Client{newGateway(c), newGateway(c)}
	for number := range MaxCrashes {
		c.now = c.now.Add(100 * time.Millisecond)
		gateways[number%2].Report(t.Context(), crashAt(fmt.Sprint("i-", number), 50*time.Millisecond))
		gateways[number%2].running.Wait()
	}
	c.now = c.now.Add(time.Second)
	for _, address := range c.members {
		c.start(address)
		assert.Equal(t, c.tables[address].Find(request).Crashes, 0)
		for _, gateway := range slices.Backward(gateways) {
			gateway.reportAgain(t.Context(), address)
		}
		assert.Equal(t, c.tables[address].Find(request).Crashes, MaxCrashes)
	}
}

// TestCrashesWithoutStorageNodesAreCounted covers a gateway that no storage node answers.
func TestCrashesWithoutStorageNodesAreCounted(t *testing.T) {
	for _, members := range []int{0, 3} {
		c := newCluster(members)
		for _, address := range c.members {
			c.stop(address)
		}
		gateway := newGateway(c)
		for number := range MaxCrashes {
			assert.Equal(t, gateway.Report(t.Context(), crashAt(fmt.Sprint("i-", number), 0)).Crashes, number+1)
		}
		assert.Equal(t, gateway.Suspicion(t.Context(), request).Crashes, MaxCrashes)
	}
}

func Example() {
	c := newCluster(3)
	first, second := newGateway(c), newGateway(c)
	for number := range MaxCrashes {
		first.Report(context.Background(), Crash{Fingerprint: request, Instance: fmt.Sprint("instance-", number)})
	}
	// The second gateway follows the tables of the storage nodes.
	for _, address := range c.members {
		changes, _ := c.WatchCrashes(context.Background(), address, second.id, Cursor{}, 0)
		second.copies.apply(address, changes)
	}
	fmt.Println(IsQuarantined(second.Suspicion(context.Background(), request).Crashes))
	// Output: true
}
