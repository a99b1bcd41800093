package register_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/register"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var errLost = errors.New("connection lost")

func newTestClient(incarnation string, cluster *memoryCluster) *register.Client {
	settings := register.DefaultSettings()
	settings.BackoffBase = time.Microsecond
	return register.NewClient(incarnation, cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings)
}

func increment(current []byte) ([]byte, error) {
	number, _ := strconv.Atoi(string(current))
	return []byte(strconv.Itoa(number + 1)), nil
}

func TestConcurrentIncrements(t *testing.T) {
	const clients, changes = 3, 200
	cluster := newMemoryCluster("a", "b", "c")
	var group sync.WaitGroup
	for index := range clients {
		client := newTestClient("client-"+strconv.Itoa(index), cluster)
		for range changes {
			group.Go(func() {
				_, err := client.Apply(context.Background(), 0, "key", increment)
				assert.Check(t, err)
			})
		}
	}
	group.Wait()
	value, err := newTestClient("reader", cluster).Read(context.Background(), 0, "key")
	assert.NilError(t, err)
	number, err := strconv.Atoi(string(value))
	assert.NilError(t, err)
	// A round lost to a duel may have been picked up before it is repeated.
	assert.Assert(t, number >= clients*changes, "%d", number)
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
		if prepares, accepts := cluster.counts(); prepares+accepts < 33 {
			return poll.Continue("%d prepares and %d accepts", prepares, accepts)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	prepares, accepts := cluster.counts()
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
			cut := func(current []byte) ([]byte, error) {
				cluster.members["a"].setFailure(errLost, test.dropAnswer)
				cluster.members["b"].setFailure(errLost, test.dropAnswer)
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
