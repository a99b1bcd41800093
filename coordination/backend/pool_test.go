package backend_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
)

// clock is a manual clock.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func newPool(clk *clock, count int) *backend.Pool {
	pool := backend.NewPool(backend.EjectionPolicy(), func() time.Time { return clk.now })
	var instances []backend.Instance
	for index := range count {
		instances = append(instances, backend.Instance{ID: fmt.Sprint("i", index), Service: "app", Address: "127.0.0.1:1"})
	}
	pool.Replace(instances)
	return pool
}

func Example() {
	pool := newPool(newClock(), 3)
	first, _ := pool.Acquire(backend.Query{Service: "app", Key: "program"})
	first.Release(backend.Completed{})
	second, _ := pool.Acquire(backend.Query{Service: "app", Key: "program"})
	fmt.Println(first.Instance.ID == second.Instance.ID, second.Preferred)
	// Output: true true
}

// TestKeyKeepsInstance checks that a key moves to another instance only if its own is
// removed.
func TestKeyKeepsInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Filter(func(text string) bool { return text != "" }).Draw(t, "key")
		count := rapid.IntRange(2, 12).Draw(t, "count")
		before, err := newPool(newClock(), count).Acquire(backend.Query{Service: "app", Key: key})
		assert.NilError(t, err)
		after, err := newPool(newClock(), count-1).Acquire(backend.Query{Service: "app", Key: key})
		assert.NilError(t, err)
		if before.Instance.ID != fmt.Sprint("i", count-1) {
			assert.Equal(t, after.Instance.ID, before.Instance.ID)
		}
	})
}

// TestLoadIsBounded guards against overloading one instance by a hot key.
func TestLoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		pool := newPool(newClock(), count)
		requests := rapid.IntRange(1, 100).Draw(t, "requests")
		loads := make(map[string]int)
		for range requests {
			assignment, err := pool.Acquire(backend.Query{Service: "app", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")})
			assert.NilError(t, err)
			loads[assignment.Instance.ID]++
		}
		for _, load := range loads {
			assert.Assert(t, float64(load) <= 1.5*float64(requests)/float64(count)+3, "%v", loads)
		}
	})
}

func TestLeavingAndTriedInstancesAreExcluded(t *testing.T) {
	pool := newPool(newClock(), 2)
	pool.Replace([]backend.Instance{{ID: "i0", Service: "app", Leaving: true}, {ID: "i1", Service: "app"}})
	for range 10 {
		assignment, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		assert.Equal(t, assignment.Instance.ID, "i1")
	}
	_, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1"}})
	assert.ErrorIs(t, err, backend.ErrNoInstance)
	_, err = pool.Acquire(backend.Query{Service: "other"})
	assert.ErrorIs(t, err, backend.ErrNoInstance)
}

func TestReplaceReturnsRemovedInstances(t *testing.T) {
	pool := newPool(newClock(), 2)
	removed, kept := pool.Replace([]backend.Instance{{ID: "i1", Service: "app"}})
	assert.DeepEqual(t, removed, []string{"i0"})
	assert.Equal(t, kept, 0)
}

// TestFailingInstanceIsEjectedAndReturns checks that an ejected instance is probed by one
// request at a time.
func TestFailingInstanceIsEjectedAndReturns(t *testing.T) {
	clk := newClock()
	pool := newPool(clk, 3)
	fail := func() {
		assignment, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1", "i2"}})
		assert.NilError(t, err)
		assignment.Release(backend.Failed{})
	}
	for range 3 {
		fail()
	}
	for range 20 {
		assignment, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		assert.Assert(t, assignment.Instance.ID != "i0")
		assignment.Release(backend.Completed{})
	}
	clk.now = clk.now.Add(1100 * time.Millisecond)
	probe, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Equal(t, probe.Instance.ID, "i0", "the first request after the ejection is a probe")
	other, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Assert(t, other.Instance.ID != "i0", "one probe at a time")
	assert.Equal(t, probe.Release(backend.Completed{}), limit.Probing)
}

// TestAllEjected checks that failing instances are used if there are no others.
func TestAllEjected(t *testing.T) {
	pool := newPool(newClock(), 1)
	for range 5 {
		assignment, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		assignment.Release(backend.Failed{})
	}
}

func TestReleaseIsIdempotent(t *testing.T) {
	pool := newPool(newClock(), 1)
	assignment, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assignment.Release(backend.Inconclusive{})
	assignment.Release(backend.Inconclusive{})
	next, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Equal(t, next.Outstanding, int64(0))
}

// TestInstanceWithoutAddress checks that an instance that lost its address gets requests
// only if no other instance is left.
func TestInstanceWithoutAddress(t *testing.T) {
	pool := newPool(newClock(), 2)
	pool.MarkAddressLost(backend.Incarnation{ID: "i0"})
	pool.MarkAddressLost(backend.Incarnation{ID: "unknown"})
	for i := range 50 {
		c, err := pool.Acquire(backend.Query{Service: "app", Key: fmt.Sprint(i)})
		assert.NilError(t, err)
		assert.Equal(t, c.Instance.ID, "i1")
	}
	_, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1"}})
	assert.NilError(t, err, "the last resort")
}

// TestConcurrentRequestsAreSpread guards against requests at the same moment that go to one
// instance, since each saw the loads before the others were added.
func TestConcurrentRequestsAreSpread(t *testing.T) {
	const instances, requests = 2, 64
	for range 200 {
		pool := newPool(newClock(), instances)
		acquired := make(chan *backend.Assignment, requests)
		start := make(chan struct{})
		for range requests {
			go func() {
				<-start
				assignment, _ := pool.Acquire(backend.Query{Service: "app"})
				acquired <- assignment
			}()
		}
		close(start)
		perInstance := make(map[string]int)
		for range requests {
			perInstance[(<-acquired).Instance.ID]++
		}
		assert.DeepEqual(t, perInstance, map[string]int{"i0": requests / instances, "i1": requests / instances})
	}
}
