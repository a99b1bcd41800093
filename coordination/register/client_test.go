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

// TestClientsUnderFaults lets concurrent clients append tags while every request
// may fail before or after its effect. What is told applied must stand exactly
// once, and what is told not applied must not stand.
func TestClientsUnderFaults(t *testing.T) {
	const clients, changes = 3, 60
	cluster := newMemoryCluster("a", "b", "c")
	cluster.setLoss(15)
	var mutex sync.Mutex
	told := make(map[string]error)
	var group sync.WaitGroup
	var proposers [clients]*register.Client
	for index := range proposers {
		proposers[index] = newTestClient("client-"+strconv.Itoa(index), cluster)
	}
	for number := range clients * changes {
		client := proposers[number%clients]
		op := &operation{kind: kindAppend, tag: fmt.Sprintf("%03d.", number)}
		group.Go(func() {
			_, err := client.Apply(context.Background(), 0, "key", op.change)
			mutex.Lock()
			defer mutex.Unlock()
			told[op.tag] = err
		})
	}
	group.Wait()
	cluster.setLoss(0)
	value, err := newTestClient("reader", cluster).Read(context.Background(), 0, "key")
	assert.NilError(t, err)
	for tag, err := range told {
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

// TestOwnValueIsFinished shows that a sole proposer applies even a change that
// can't recognise its own effect once only.
func TestOwnValueIsFinished(t *testing.T) {
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
	cluster.beginEpoch(2, 7)
	value, err := client.Apply(context.Background(), 0, "key", increment)
	assert.NilError(t, err)
	assert.Equal(t, string(value), "2")
	assert.Equal(t, cluster.ConfigurationVersion(), uint64(7))
	view, _ := cluster.View(0)
	assert.Equal(t, view.Epoch, uint64(2))
}

// TestWithdrawnChangeIsNeverApplied ends a call that waits behind another.
func TestWithdrawnChangeIsNeverApplied(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newTestClient("client", cluster)
	started, release := make(chan struct{}), make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		_, err := client.Apply(context.Background(), 0, "key", func([]byte) ([]byte, error) {
			close(started)
			<-release
			return []byte("first"), nil
		})
		assert.Check(t, err)
	})
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() {
		_, err := client.Apply(ctx, 0, "key", func([]byte) ([]byte, error) { return []byte("second"), nil })
		assert.Check(t, is.ErrorIs(err, register.ErrNoQuorum))
		assert.Check(t, is.ErrorIs(err, context.Canceled))
		close(release)
	})
	cancel()
	group.Wait()
	value, err := client.Read(context.Background(), 0, "key")
	assert.NilError(t, err)
	assert.Equal(t, string(value), "first")
}

func TestSteadyChangeCostsOneRoundTrip(t *testing.T) {
	cluster := newMemoryCluster("a", "b", "c")
	client := newTestClient("client", cluster)
	for range 10 {
		_, err := client.Apply(context.Background(), 0, "key", increment)
		assert.NilError(t, err)
	}
	// The slowest member's requests may still be under way.
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
			cut := func([]byte) ([]byte, error) {
				cluster.setFailure(test.dropAnswer, "a", "b")
				return []byte("value"), nil
			}
			if !test.dropAnswer {
				_, _ = cut(nil)
			}
			_, err := client.Apply(context.Background(), 0, "key", cut)
			assert.ErrorIs(t, err, test.expected)
			assert.ErrorIs(t, err, errLost)
		})
	}
}
