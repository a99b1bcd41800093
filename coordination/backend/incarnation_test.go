package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
)

// restartFixture is a pool of three instances, of which i0 may restart under its ID.
type restartFixture struct {
	*backend.Pool
	clock     *clock
	restarted []backend.Restart
}

func newRestartFixture() *restartFixture {
	f := &restartFixture{clock: newClock()}
	f.Pool = backend.NewPool(backend.EjectionPolicy(), func() time.Time { return f.clock.now })
	f.OnRestarted(func(restart backend.Restart) { f.restarted = append(f.restarted, restart) })
	return f
}

// list replaces the instances, with the start time of i0; the others report none.
func (f *restartFixture) list(started time.Time) (removed []string) {
	removed, _ = f.Replace([]backend.Instance{
		{ID: "i0", Started: started, Service: "app", Address: "10.0.0.1:1"},
		{ID: "i1", Service: "app", Address: "10.0.0.2:1"}, {ID: "i2", Service: "app", Address: "10.0.0.3:1"},
	})
	return removed
}

// acquire acquires a request at the instance by marking the others as tried.
func (f *restartFixture) acquire(t *testing.T, id string) *backend.Assignment {
	t.Helper()
	tried := map[string][]string{"i0": {"i1", "i2"}, "i1": {"i0", "i2"}, "i2": {"i0", "i1"}}[id]
	choice, err := f.Acquire(backend.Query{Service: "app", Route: "r", Tried: tried})
	assert.NilError(t, err)
	assert.Equal(t, choice.Instance.ID, id)
	return choice
}

func startOf(second int64) time.Time { return time.Unix(second, 0) }

// TestRestartResetsState checks that load and health belong to one incarnation. The
// instance has requests in flight and is ejected when the next entry arrives.
func TestRestartResetsState(t *testing.T) {
	for name, c := range map[string]struct {
		known, next time.Time
		// isNew is set if the entry belongs to a new incarnation. want is the start time
		// known afterwards.
		isNew bool
		want  time.Time
	}{
		"later":               {startOf(100), startOf(101), true, startOf(101)},
		"earlier":             {startOf(100), startOf(99), false, startOf(100)},
		"equal":               {startOf(100), startOf(100), false, startOf(100)},
		"unknown after known": {startOf(100), time.Time{}, false, startOf(100)},
		"known after unknown": {time.Time{}, startOf(100), false, startOf(100)},
		"unknown":             {time.Time{}, time.Time{}, false, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRestartFixture()
			f.list(c.known)
			first := f.acquire(t, "i0")
			second := f.acquire(t, "i0")
			for range 3 {
				f.acquire(t, "i0").Release(backend.Failed{})
			}
			assert.Equal(t, len(f.list(c.next)), 0)
			assert.Equal(t, len(f.restarted), map[bool]int{true: 1}[c.isNew])
			if c.isNew {
				assert.DeepEqual(t, f.restarted[0], backend.Restart{
					Previous: backend.Incarnation{ID: "i0", Started: c.known}, Current: backend.Incarnation{ID: "i0", Started: c.next}, InFlight: 2,
				})
			}
			wantHealth := map[bool]limit.EngineHealth{true: limit.Healthy, false: limit.Ejected}[c.isNew]
			next := f.acquire(t, "i0")
			assert.Assert(t, next.Instance.Started.Equal(c.want), "%s", next.Instance.Started)
			assert.Equal(t, next.Outstanding, map[bool]int64{true: 0, false: 2}[c.isNew])
			assert.Equal(t, next.Release(backend.Inconclusive{}), wantHealth)
			// Requests of the earlier incarnation don't affect the next one.
			for range 5 {
				first.Release(backend.Failed{})
				second.Release(backend.Failed{})
			}
			assert.Equal(t, f.acquire(t, "i0").Release(backend.Inconclusive{}), wantHealth)
		})
	}
}

// TestOutdatedEntryDoesNotRestoreInstance checks that an entry of an earlier incarnation
// doesn't bring a removed instance back, while one of the same incarnation does.
func TestOutdatedEntryDoesNotRestoreInstance(t *testing.T) {
	known := func(f *restartFixture) int {
		count, _ := f.Count()
		return count
	}
	f := newRestartFixture()
	f.list(startOf(100))
	f.Replace([]backend.Instance{{ID: "i1", Service: "app", Address: "10.0.0.2:1"}, {ID: "i2", Service: "app", Address: "10.0.0.3:1"}})
	assert.Equal(t, known(f), 2)
	f.list(startOf(99))
	assert.Equal(t, known(f), 2)
	f.list(startOf(100))
	assert.Equal(t, known(f), 3)
	f.Replace(nil)
	f.clock.now = f.clock.now.Add(time.Hour)
	f.Expire()
	assert.Equal(t, known(f), 0)
	f.list(startOf(99))
	assert.Equal(t, known(f), 2)
	f.clock.now = f.clock.now.Add(time.Hour)
	f.list(startOf(99))
	assert.Equal(t, known(f), 3, "the start time is no longer kept")
}

// TestLostAddressIsPerIncarnation guards against applying the lost address of an earlier
// incarnation to the next one.
func TestLostAddressIsPerIncarnation(t *testing.T) {
	f := newRestartFixture()
	f.list(startOf(100))
	before := f.acquire(t, "i0")
	f.list(startOf(200))
	f.MarkAddressLost(before.Instance.Incarnation())
	count := 0
	for range 50 {
		choice, err := f.Acquire(backend.Query{Service: "app", Route: "r"})
		assert.NilError(t, err)
		if choice.Instance.ID == "i0" {
			count++
		}
		choice.Release(backend.Inconclusive{})
	}
	assert.Assert(t, count > 0)
	f.MarkAddressLost(backend.Incarnation{ID: "i0", Started: startOf(200)})
	for range 50 {
		choice, err := f.Acquire(backend.Query{Service: "app", Route: "r"})
		assert.NilError(t, err)
		assert.Assert(t, choice.Instance.ID != "i0")
		choice.Release(backend.Inconclusive{})
	}
}
