package register_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"
)

func newTestClient(incarnation string, cluster *memoryCluster) *register.Client {
	settings := register.DefaultSettings()
	settings.BackoffBase = time.Microsecond
	return register.NewClient(incarnation, cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings)
}

func increment(current []byte) ([]byte, error) {
	number, _ := strconv.Atoi(string(current))
	return []byte(strconv.Itoa(number + 1)), nil
}

// TestClientsUnderFaults guards against applied changes that are missing or repeated, and
// rejected ones that took effect, while any request may fail.
func TestClientsUnderFaults(t *testing.T) {
	constructors := map[string]func(incarnation string, cluster *memoryCluster) *register.Client{
		"all at once": newTestClient,
		"thrifty": func(incarnation string, cluster *memoryCluster) *register.Client {
			return newThriftyClient(incarnation, cluster, cluster)
		},
	}
	for name, newClient := range constructors {
		t.Run(name, func(t *testing.T) { testClientsUnderFaults(t, newClient) })
	}
}

func testClientsUnderFaults(t *testing.T, newClient func(incarnation string, cluster *memoryCluster) *register.Client) {
	const clients, changes = 3, 60
	cluster := newMemoryCluster("a", "b", "c")
	cluster.setLoss(15)
	var mutex sync.Mutex
	results := make(map[string]error)
	var group sync.WaitGroup
	var proposers [clients]*register.Client
	for index := range proposers {
		proposers[index] = newClient("client-"+strconv.Itoa(index), cluster)
	}
	for number := range clients * changes {
		client := proposers[number%clients]
		op := &operation{kind: kindAppend, tag: fmt.Sprintf("%03d.", number)}
		group.Go(func() {
			_, err := client.Apply(context.Background(), 0, "key", op.change)
			mutex.Lock()
			defer mutex.Unlock()
			results[op.tag] = err
		})
	}
	group.Wait()
	cluster.setLoss(0)
	value, err := newClient("reader", cluster).Read(context.Background(), 0, "key")
	assert.NilError(t, err)
	for tag, err := range results {
		count := strings.Count(string(value), tag)
		switch {
		case err == nil:
			assert.Equal(t, count, 1, tag)
		case errors.Is(err, register.ErrUnknownOutcome):
			assert.Assert(t, count <= 1, tag)
		default:
			assert.ErrorIs(t, err, register.ErrNoQuorum)
			assert.Equal(t, count, 0, tag)
		}
	}
}

// TestOwnProposalIsAppliedOnce checks that a sole proposer applies a change only once even
// if the change can't recognise its own effect.
func TestOwnProposalIsAppliedOnce(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newTestClient("client", cluster)
	dropped := false
	value, err := client.Apply(context.Background(), 0, "key", func(current []byte) ([]byte, error) {
		if !dropped {
			dropped = true
			cluster.dropAnswers(1, "a", "b")
		}
		return increment(current)
	})
	assert.NilError(t, err)
	assert.Equal(t, string(value), "1")
}

func TestNewerEpochAndConfigurationAreLearned(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newTestClient("client", cluster)
	_, err := client.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	cluster.setMemberEpoch(2, 7)
	value, err := client.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	assert.Equal(t, string(value), "2")
	assert.Equal(t, cluster.ConfigurationVersion(), uint64(7))
	view, _ := cluster.View(0)
	assert.Equal(t, view.Epoch, uint64(2))

	// A promise from the members of one epoch isn't used in the next.
	cluster.setMemberEpoch(3, 7)
	cluster.Learn(register.View{Epoch: 3, Members: view.Members})
	before, _, _ := cluster.counts()
	_, err = client.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	after, _, _ := cluster.counts()
	assert.Assert(t, after >= before+2)
}

// TestStalePromise has another client change the register between two changes, so that
// the cached promise is outdated.
func TestStalePromise(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	first, second := newTestClient("first", cluster), newTestClient("second", cluster)
	for number, client := range []*register.Client{first, second, first, second} {
		value, err := client.Apply(context.Background(), 0, "key", increment)
		assert.NilError(t, err)
		assert.Equal(t, string(value), strconv.Itoa(number+1))
	}
}

// queuedContext closes queued once Apply waits for the result.
type queuedContext struct {
	context.Context
	queued chan struct{}
	once   *sync.Once
}

func (c queuedContext) Done() <-chan struct{} {
	c.once.Do(func() { close(c.queued) })
	return c.Context.Done()
}

// TestWithdrawnChangeIsNeverApplied cancels a call that waits behind another one, either
// in the queue or in the same batch.
func TestWithdrawnChangeIsNeverApplied(t *testing.T) {
	for _, test := range []struct {
		name  string
		batch int
	}{
		{name: "in the queue", batch: 1},
		{name: "in the batch", batch: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newMemoryCluster("a", "b", "c")
			settings := register.DefaultSettings()
			settings.MaxBatch = test.batch
			client := register.NewClient("client", cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings)
			started, release, withdrawn := make(chan struct{}), make(chan struct{}), make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			apply := func(ctx context.Context, change register.Change, expected error) {
				queued := queuedContext{Context: ctx, queued: make(chan struct{}), once: new(sync.Once)}
				group.Go(func() {
					_, err := client.Apply(queued, 0, "key", change)
					assert.Check(t, is.ErrorIs(err, expected))
					if expected != nil {
						close(withdrawn)
					}
				})
				<-queued.queued
			}
			// The first call keeps the register busy until the others wait.
			apply(context.Background(), func(current []byte) ([]byte, error) {
				close(started)
				<-release
				return current, nil
			}, nil)
			<-started
			apply(context.Background(), func([]byte) ([]byte, error) {
				cancel()
				<-withdrawn
				return []byte("first"), nil
			}, nil)
			apply(ctx, func([]byte) ([]byte, error) { return []byte("withdrawn"), nil }, register.ErrNoQuorum)
			close(release)
			group.Wait()
			value, err := client.Read(context.Background(), 0, "key")
			assert.NilError(t, err)
			assert.Equal(t, string(value), "first")
		})
	}
}

func TestRepeatedChangeTakesOneRoundTrip(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newTestClient("client", cluster)
	for range 10 {
		_, err := client.Apply(context.Background(), 0, "key", increment)
		assert.NilError(t, err)
	}
	// The requests to the slowest member may still be under way.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if prepares, accepts, _ := cluster.counts(); prepares+accepts < 33 {
			return poll.Continue("%d prepares and %d accepts", prepares, accepts)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	prepares, accepts, _ := cluster.counts()
	assert.Equal(t, prepares, 3)
	assert.Equal(t, accepts, 30)
}

func TestLostMajority(t *testing.T) {
	for _, test := range []struct {
		name       string
		dropAnswer bool
		expected   error
	}{
		{name: "unreachable", expected: register.ErrNoQuorum},
		{name: "answers dropped from the accept on", dropAnswer: true, expected: register.ErrUnknownOutcome},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newMemoryCluster("a", "b", "c")
			client := newTestClient("client", cluster)
			failMajority := func([]byte) ([]byte, error) {
				cluster.setFailure(test.dropAnswer, "a", "b")
				return []byte("value"), nil
			}
			if !test.dropAnswer {
				_, _ = failMajority(nil)
			}
			_, err := client.Apply(context.Background(), 0, "key", failMajority)
			assert.ErrorIs(t, err, test.expected)
			assert.ErrorIs(t, err, errLost)
		})
	}
}

// newFastRoundClient returns a client that skips the prepare for new registers.
func newFastRoundClient(incarnation string, cluster *memoryCluster) *register.Client {
	settings := register.DefaultSettings()
	settings.BackoffBase = time.Microsecond
	settings.FastRoundTimeout = time.Minute
	return register.NewClient(incarnation, cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings)
}

// TestFirstChangeTakesOneRoundTrip checks that neither the first change of a register nor
// the next ones send a prepare.
func TestFirstChangeTakesOneRoundTrip(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newFastRoundClient("client", cluster)
	for want := range 3 {
		value, err := client.Apply(context.Background(), 0, "key", increment)
		assert.NilError(t, err)
		assert.Equal(t, string(value), strconv.Itoa(want+1))
	}
	prepares, _, _ := cluster.counts()
	assert.Equal(t, prepares, 0)
	value, err := newTestClient("reader", cluster).Read(context.Background(), 0, "key")
	assert.NilError(t, err)
	assert.Equal(t, string(value), "3")
}

// TestFastRoundOnExistingRegister guards against a fast round that ignores the existing value,
// and against one that makes changes of other registers prepare.
func TestFastRoundOnExistingRegister(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	_, err := newFastRoundClient("first", cluster).Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	second := newFastRoundClient("second", cluster)
	value, err := second.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	assert.Equal(t, string(value), "2")
	before, _, _ := cluster.counts()
	_, err = second.Apply(context.Background(), 0, "other", increment)
	assert.NilError(t, err)
	after, _, _ := cluster.counts()
	assert.Equal(t, after, before)
}

// TestUnreachableMemberSuspendsFastRounds checks that a change that not all members accept
// is made by a majority, and that the next changes begin with a prepare.
func TestUnreachableMemberSuspendsFastRounds(t *testing.T) {
	for name, dropAnswer := range map[string]bool{"lost": false, "answers lost": true} {
		t.Run(name, func(t *testing.T) {
			cluster := newMemoryCluster("a", "b", "c")
			cluster.setFailure(dropAnswer, "c")
			client := newFastRoundClient("client", cluster)
			for i := range 5 {
				value, err := client.Apply(context.Background(), 0, fmt.Sprint("key", i), increment)
				assert.NilError(t, err)
				assert.Equal(t, string(value), "1")
			}
			prepares, _, _ := cluster.counts()
			assert.Assert(t, prepares >= 5*2, "%d prepares: each key begins with one", prepares)
		})
	}
}

// TestSilentMemberDelaysOneFastRound checks that after one change has waited for a silent
// member, the next ones begin with a prepare.
func TestSilentMemberDelaysOneFastRound(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	transport := &silentMemberTransport{memoryCluster: cluster, silent: "c"}
	settings := register.DefaultSettings()
	settings.FastRoundTimeout = 5 * time.Millisecond
	client := register.NewClient("client", transport, cluster, shortTimerClock{}, rand.New(rand.NewPCG(1, 1)), settings)
	for i := range 5 {
		value, err := client.Apply(context.Background(), 0, fmt.Sprint("key", i), increment)
		assert.NilError(t, err)
		assert.Equal(t, string(value), "1")
	}
	prepares, accepts, _ := cluster.counts()
	assert.Assert(t, prepares >= 5*2 && accepts <= 6*2, "%d prepares, %d accepts", prepares, accepts)
}

// shortTimerClock never fires timers of a second or more, so that the test doesn't depend
// on the speed of the machine.
type shortTimerClock struct{ register.SystemClock }

func (c shortTimerClock) AfterFunc(delay time.Duration, f func()) (stop func() bool) {
	if delay >= time.Second {
		return func() bool { return true }
	}
	return c.SystemClock.AfterFunc(delay, f)
}

// silentMemberTransport blocks requests to one member until their context ends.
type silentMemberTransport struct {
	*memoryCluster
	silent string
}

func (s *silentMemberTransport) Prepare(ctx context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	if member.Node == s.silent {
		<-ctx.Done()
		return register.PrepareReply{}, ctx.Err()
	}
	return s.memoryCluster.Prepare(ctx, member, request)
}

func (s *silentMemberTransport) Accept(ctx context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	if member.Node == s.silent {
		<-ctx.Done()
		return register.AcceptReply{}, ctx.Err()
	}
	return s.memoryCluster.Accept(ctx, member, request)
}
