package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/limit"
)

// lifeWorld is a pool of instances that may be started again under their ids.
type lifeWorld struct {
	*backend.Pool
	at        *clock
	restarted []backend.Restart
}

func newLifeWorld() *lifeWorld {
	w := &lifeWorld{at: newClock()}
	w.Pool = backend.NewPool(backend.EjectionPolicy(), func() time.Time { return w.at.now })
	w.OnRestarted(func(restart backend.Restart) { w.restarted = append(w.restarted, restart) })
	return w
}

// list has the instance i0 start then, beside others that never start again.
func (w *lifeWorld) list(started time.Time) (gone []string) {
	gone, _ = w.Replace([]backend.Instance{
		{ID: "i0", Started: started, Service: "app", Address: "10.0.0.1:1"},
		{ID: "i1", Service: "app", Address: "10.0.0.2:1"}, {ID: "i2", Service: "app", Address: "10.0.0.3:1"},
	})
	return gone
}

// at acquires a place at the instance.
func (w *lifeWorld) acquire(t *testing.T, id string) *backend.Choice {
	t.Helper()
	tried := map[string][]string{"i0": {"i1", "i2"}, "i1": {"i0", "i2"}, "i2": {"i0", "i1"}}[id]
	choice, err := w.Acquire(backend.Query{Service: "app", Route: "r", Tried: tried})
	assert.NilError(t, err)
	assert.Equal(t, choice.Instance.ID, id)
	return choice
}

func startOf(second int64) time.Time { return time.Unix(second, 0) }

// TestLifeOfAnInstance: what is known of an instance holds for one life of it. The
// instance has a request under way and has failed all others, so that it is ejected, when
// the next entry comes.
func TestLifeOfAnInstance(t *testing.T) {
	for name, c := range map[string]struct {
		known, next time.Time
		// isNew tells that the entry is of a new life, want which start is known after.
		isNew bool
		want  time.Time
	}{
		"later":           {startOf(100), startOf(101), true, startOf(101)},
		"earlier":         {startOf(100), startOf(99), false, startOf(100)},
		"equal":           {startOf(100), startOf(100), false, startOf(100)},
		"none after some": {startOf(100), time.Time{}, false, startOf(100)},
		"some after none": {time.Time{}, startOf(100), false, startOf(100)},
		"none":            {time.Time{}, time.Time{}, false, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLifeWorld()
			w.list(c.known)
			underWay := w.acquire(t, "i0")
			late := w.acquire(t, "i0")
			for range 3 {
				w.acquire(t, "i0").Release(backend.Broken{})
			}
			assert.Equal(t, len(w.list(c.next)), 0)
			assert.Equal(t, len(w.restarted), map[bool]int{true: 1}[c.isNew])
			if c.isNew {
				assert.DeepEqual(t, w.restarted[0], backend.Restart{
					Was: backend.Life{ID: "i0", Started: c.known}, Is: backend.Life{ID: "i0", Started: c.next}, UnderWay: 2,
				})
			}
			wantHealth := map[bool]limit.EngineHealth{true: limit.Healthy, false: limit.Ejected}[c.isNew]
			next := w.acquire(t, "i0")
			assert.Assert(t, next.Instance.Started.Equal(c.want), "%s", next.Instance.Started)
			assert.Equal(t, next.Outstanding, map[bool]int64{true: 0, false: 2}[c.isNew])
			assert.Equal(t, next.Release(backend.Unjudged{}), wantHealth)
			// What was under way in the earlier life says nothing of the next one.
			for range 5 {
				underWay.Release(backend.Broken{})
				late.Release(backend.Broken{})
			}
			assert.Equal(t, w.acquire(t, "i0").Release(backend.Unjudged{}), wantHealth)
		})
	}
}

// TestEntryOfAnEarlierLifeBringsNothingBack once the instance is gone, and one of the
// same or a later life does.
func TestEntryOfAnEarlierLifeBringsNothingBack(t *testing.T) {
	known := func(w *lifeWorld) int {
		count, _ := w.Count()
		return count
	}
	w := newLifeWorld()
	w.list(startOf(100))
	w.Replace([]backend.Instance{{ID: "i1", Service: "app", Address: "10.0.0.2:1"}, {ID: "i2", Service: "app", Address: "10.0.0.3:1"}})
	assert.Equal(t, known(w), 2)
	w.list(startOf(99))
	assert.Equal(t, known(w), 2)
	w.list(startOf(100))
	assert.Equal(t, known(w), 3)
	w.Replace(nil)
	w.at.now = w.at.now.Add(time.Hour)
	w.Expire()
	assert.Equal(t, known(w), 0)
	w.list(startOf(99))
	assert.Equal(t, known(w), 2)
	w.at.now = w.at.now.Add(time.Hour)
	w.list(startOf(99))
	assert.Equal(t, known(w), 3, "what was an hour ago is forgotten")
}

// TestAddressTakenInAnEarlierLife leaves the next one alone.
func TestAddressTakenInAnEarlierLife(t *testing.T) {
	w := newLifeWorld()
	w.list(startOf(100))
	before := w.acquire(t, "i0")
	w.list(startOf(200))
	w.Gone(before.Instance.Life())
	first := 0
	for range 50 {
		choice, err := w.Acquire(backend.Query{Service: "app", Route: "r"})
		assert.NilError(t, err)
		if choice.Instance.ID == "i0" {
			first++
		}
		choice.Release(backend.Unjudged{})
	}
	assert.Assert(t, first > 0)
	w.Gone(backend.Life{ID: "i0", Started: startOf(200)})
	for range 50 {
		choice, err := w.Acquire(backend.Query{Service: "app", Route: "r"})
		assert.NilError(t, err)
		assert.Assert(t, choice.Instance.ID != "i0")
		choice.Release(backend.Unjudged{})
	}
}
