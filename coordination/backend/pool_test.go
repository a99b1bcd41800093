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

type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func newPool(at *clock, count int) *backend.Pool {
	pool := backend.NewPool(backend.EjectionPolicy(), func() time.Time { return at.now })
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
	first.Release(backend.Answered{})
	second, _ := pool.Acquire(backend.Query{Service: "app", Key: "program"})
	fmt.Println(first.Instance.ID == second.Instance.ID, second.Preferred)
	// Output: true true
}

// TestKeyStaysWhileOthersComeAndGo: a key moves only when its instance does.
func TestKeyStaysWhileOthersComeAndGo(t *testing.T) {
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

// TestLoadIsBounded: however the keys fall, no instance gets far more than the
// others.
func TestLoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		pool := newPool(newClock(), count)
		requests := rapid.IntRange(1, 100).Draw(t, "requests")
		loads := make(map[string]int)
		for range requests {
			choice, err := pool.Acquire(backend.Query{Service: "app", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")})
			assert.NilError(t, err)
			loads[choice.Instance.ID]++
		}
		for _, load := range loads {
			assert.Assert(t, float64(load) <= 1.5*float64(requests)/float64(count)+3, "%v", loads)
		}
	})
}

func TestLeavingAndTriedInstancesAreLeftOut(t *testing.T) {
	pool := newPool(newClock(), 2)
	pool.Replace([]backend.Instance{{ID: "i0", Service: "app", Leaving: true}, {ID: "i1", Service: "app"}})
	for range 10 {
		choice, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		assert.Equal(t, choice.Instance.ID, "i1")
	}
	_, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1"}})
	assert.ErrorIs(t, err, backend.ErrNoInstance)
	_, err = pool.Acquire(backend.Query{Service: "other"})
	assert.ErrorIs(t, err, backend.ErrNoInstance)
}

func TestReplaceTellsWhatIsGone(t *testing.T) {
	pool := newPool(newClock(), 2)
	gone, kept := pool.Replace([]backend.Instance{{ID: "i1", Service: "app"}})
	assert.DeepEqual(t, gone, []string{"i0"})
	assert.Equal(t, kept, 0)
}

// TestFailingInstanceIsEjectedAndReturns by single requests.
func TestFailingInstanceIsEjectedAndReturns(t *testing.T) {
	at := newClock()
	pool := newPool(at, 3)
	fail := func() {
		choice, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1", "i2"}})
		assert.NilError(t, err)
		choice.Release(backend.Broken{})
	}
	for range 3 {
		fail()
	}
	for range 20 {
		choice, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		assert.Assert(t, choice.Instance.ID != "i0")
		choice.Release(backend.Answered{})
	}
	at.now = at.now.Add(1100 * time.Millisecond)
	probe, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Equal(t, probe.Instance.ID, "i0", "one request probes it")
	other, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Assert(t, other.Instance.ID != "i0", "only one at a time")
	assert.Equal(t, probe.Release(backend.Answered{}), limit.Probed)
}

// TestAllEjected: instances that fail are better than none.
func TestAllEjected(t *testing.T) {
	pool := newPool(newClock(), 1)
	for range 5 {
		choice, err := pool.Acquire(backend.Query{Service: "app"})
		assert.NilError(t, err)
		choice.Release(backend.Broken{})
	}
}

func TestReleaseCountsOnce(t *testing.T) {
	pool := newPool(newClock(), 1)
	choice, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	choice.Release(backend.Unjudged{})
	choice.Release(backend.Unjudged{})
	next, err := pool.Acquire(backend.Query{Service: "app"})
	assert.NilError(t, err)
	assert.Equal(t, next.Outstanding, int64(0))
}

// TestGoneInstance gets nothing new from the first sign on, as long as others
// are there.
func TestGoneInstance(t *testing.T) {
	pool := newPool(newClock(), 2)
	pool.Gone(backend.Life{ID: "i0"})
	pool.Gone(backend.Life{ID: "unknown"})
	for i := range 50 {
		c, err := pool.Acquire(backend.Query{Service: "app", Key: fmt.Sprint(i)})
		assert.NilError(t, err)
		assert.Equal(t, c.Instance.ID, "i1")
	}
	_, err := pool.Acquire(backend.Query{Service: "app", Tried: []string{"i1"}})
	assert.NilError(t, err, "the last resort")
}
