package backend_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
)

// lapseWorld is a pool of instances under a clock that is moved by hand.
type lapseWorld struct {
	*backend.Pool
	now  time.Time
	all  []backend.Instance
	gone []string
	kept int
}

func newLapseWorld(count int) *lapseWorld {
	w := &lapseWorld{now: time.Unix(1000, 0)}
	w.Pool = backend.NewPool(backend.EjectionPolicy(), func() time.Time { return w.now })
	for i := range count {
		w.all = append(w.all, backend.Instance{ID: fmt.Sprint("i", i), Service: "app", Address: fmt.Sprint("10.0.0.", i), Zone: "z", Capacity: 4})
	}
	w.list(w.all)
	return w
}

func (w *lapseWorld) list(instances []backend.Instance) {
	w.gone, w.kept = w.Replace(instances)
	slices.Sort(w.gone)
}

func (w *lapseWorld) known() int {
	known, _ := w.Count()
	return known
}

// TestLapsedEntriesAreKept until they are back, or their time is over.
func TestLapsedEntriesAreKept(t *testing.T) {
	w := newLapseWorld(9)
	w.list(w.all[:2])
	assert.Equal(t, len(w.gone), 0)
	assert.Equal(t, w.kept, 7)
	assert.Equal(t, w.known(), 9)
	w.now = w.now.Add(time.Second)
	w.list(w.all[:6])
	assert.Equal(t, w.kept, 3)
	assert.Equal(t, len(w.Expire()), 0)
	w.now = w.now.Add(backend.LapseTime - time.Second)
	dropped := w.Expire()
	slices.Sort(dropped)
	assert.DeepEqual(t, dropped, []string{"i6", "i7", "i8"})
	assert.Equal(t, w.known(), 6)
	w.list(w.all)
	assert.Equal(t, w.known(), 9)
	// One that came back may lapse again.
	w.now = w.now.Add(time.Hour)
	w.list(w.all[:1])
	assert.Equal(t, w.kept, 8)
}

// TestEndsAreNoLapse: single entries, those of leaving instances, and those whose
// address another instance has, are gone at once.
func TestEndsAreNoLapse(t *testing.T) {
	w := newLapseWorld(9)
	w.list(w.all[1:])
	assert.DeepEqual(t, w.gone, []string{"i0"})
	w = newLapseWorld(9)
	leaving := slices.Clone(w.all)
	for i := range 5 {
		leaving[i].Leaving = true
	}
	w.list(leaving)
	w.list(w.all[5:])
	assert.Equal(t, len(w.gone), 5)
	w = newLapseWorld(9)
	other := slices.Clone(w.all[:2])
	other = append(other, backend.Instance{ID: "new", Service: "other", Address: w.all[8].Address, Zone: "z", Capacity: 4})
	w.list(other)
	assert.DeepEqual(t, w.gone, []string{"i8"})
	assert.Equal(t, w.kept, 6)
}

// TestALapseOfOneServiceKeepsNoOther: what vanished from another service was an
// end of its own.
func TestALapseOfOneServiceKeepsNoOther(t *testing.T) {
	w := newLapseWorld(6)
	others := make([]backend.Instance, 0, 6)
	for i := range 6 {
		others = append(others, backend.Instance{ID: fmt.Sprint("o", i), Service: "other", Address: fmt.Sprint("10.0.1.", i), Zone: "z"})
	}
	w.list(slices.Concat(w.all, others))
	w.list(slices.Concat(w.all[:1], others[1:]))
	assert.DeepEqual(t, w.gone, []string{"o0"})
	assert.Equal(t, w.kept, 5)
}
