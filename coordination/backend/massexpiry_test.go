package backend_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
)

// expiryFixture is a pool of instances with a manual clock and the results of the last
// Replace.
type expiryFixture struct {
	*backend.Pool
	now     time.Time
	all     []backend.Instance
	removed []string
	kept    int
}

func newExpiryFixture(count int) *expiryFixture {
	f := &expiryFixture{now: time.Unix(1000, 0)}
	f.Pool = backend.NewPool(backend.EjectionPolicy(), func() time.Time { return f.now })
	for i := range count {
		f.all = append(f.all, backend.Instance{ID: fmt.Sprint("i", i), Service: "app", Address: fmt.Sprint("10.0.0.", i), Zone: "z", Capacity: 4})
	}
	f.list(f.all)
	return f
}

func (f *expiryFixture) list(instances []backend.Instance) {
	f.removed, f.kept = f.Replace(instances)
	slices.Sort(f.removed)
}

func (f *expiryFixture) known() int {
	known, _ := f.Count()
	return known
}

// TestExpiredInstancesAreKept checks that instances are kept after a mass expiry until
// their entries return or ExpiryGracePeriod is over.
func TestExpiredInstancesAreKept(t *testing.T) {
	f := newExpiryFixture(9)
	f.list(f.all[:2])
	assert.Equal(t, len(f.removed), 0)
	assert.Equal(t, f.kept, 7)
	assert.Equal(t, f.known(), 9)
	f.now = f.now.Add(time.Second)
	f.list(f.all[:6])
	assert.Equal(t, f.kept, 3)
	assert.Equal(t, len(f.Expire()), 0)
	f.now = f.now.Add(backend.ExpiryGracePeriod - time.Second)
	expired := f.Expire()
	slices.Sort(expired)
	assert.DeepEqual(t, expired, []string{"i6", "i7", "i8"})
	assert.Equal(t, f.known(), 6)
	f.list(f.all)
	assert.Equal(t, f.known(), 9)
	// Instances that came back may expire again.
	f.now = f.now.Add(time.Hour)
	f.list(f.all[:1])
	assert.Equal(t, f.kept, 8)
}

// TestEndedInstancesAreNotKept checks that an instance is removed at once if it vanished
// alone, was leaving, or lost its address to another instance.
func TestEndedInstancesAreNotKept(t *testing.T) {
	f := newExpiryFixture(9)
	f.list(f.all[1:])
	assert.DeepEqual(t, f.removed, []string{"i0"})
	f = newExpiryFixture(9)
	leaving := slices.Clone(f.all)
	for i := range 5 {
		leaving[i].Leaving = true
	}
	f.list(leaving)
	f.list(f.all[5:])
	assert.Equal(t, len(f.removed), 5)
	f = newExpiryFixture(9)
	other := slices.Clone(f.all[:2])
	other = append(other, backend.Instance{ID: "new", Service: "other", Address: f.all[8].Address, Zone: "z", Capacity: 4})
	f.list(other)
	assert.DeepEqual(t, f.removed, []string{"i8"})
	assert.Equal(t, f.kept, 6)
}

// TestMassExpiryIsPerService guards against keeping an instance because those of another
// service expired.
func TestMassExpiryIsPerService(t *testing.T) {
	f := newExpiryFixture(6)
	others := make([]backend.Instance, 0, 6)
	for i := range 6 {
		others = append(others, backend.Instance{ID: fmt.Sprint("o", i), Service: "other", Address: fmt.Sprint("10.0.1.", i), Zone: "z"})
	}
	f.list(slices.Concat(f.all, others))
	f.list(slices.Concat(f.all[:1], others[1:]))
	assert.DeepEqual(t, f.removed, []string{"o0"})
	assert.Equal(t, f.kept, 5)
}
