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

// versioned returns an instance for each version, with the ids i0, i1 and so on.
func versioned(versions ...string) []backend.Instance {
	instances := make([]backend.Instance, 0, len(versions))
	for index, version := range versions {
		instances = append(instances, backend.Instance{ID: fmt.Sprint("i", index), Service: "app", Address: "127.0.0.1:1", Version: version})
	}
	return instances
}

// TestVersionRestrictsChoice guards against a request that gets another software version
// than the one it needs.
func TestVersionRestrictsChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.SampledFrom([]string{"", "v1", "v1.1", "v2"}), 1, 8).Draw(t, "versions")
		key := rapid.String().Draw(t, "key")
		pool := newPool(newClock(), 0)
		pool.Replace(versioned(versions...))
		for _, version := range []string{"", "v1", "v1.1", "v2"} {
			got, err := pool.Acquire(backend.Query{Service: "app", Key: key, Version: &version})
			assert.Equal(t, pool.AcceptsVersion("app", version), err == nil)
			if err != nil {
				assert.ErrorIs(t, err, backend.ErrNoInstance)
				continue
			}
			assert.Equal(t, got.Instance.Version, version)
		}
	})
}

// TestPlannedVersionIsChosen guards against a plan that the choice of an instance doesn't
// follow, which would cost a change of the stream's record.
func TestPlannedVersionIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := newPool(newClock(), 0)
		pool.Replace(versioned("v1", "v1", "v2", "v2", "v3"))
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			query := backend.Query{Service: "app", Key: rapid.StringN(1, 2, -1).Draw(t, "key")}
			planned, ok := pool.PlanVersion(query)
			assert.Assert(t, ok)
			got, err := pool.Acquire(query)
			assert.NilError(t, err)
			assert.Equal(t, got.Instance.Version, planned)
		}
	})
}

// TestPlanLeavesProbeToRequest guards against a version whose only instance is never probed
// again after an ejection.
func TestPlanLeavesProbeToRequest(t *testing.T) {
	clk := newClock()
	pool := newPool(clk, 0)
	pool.Replace(versioned("v1", "v1", "v2"))
	for range 3 {
		acquireAt(t, pool, "i2", 3).Release(backend.Failed{})
	}
	query := backend.Query{Service: "app", Key: "program"}
	planned, ok := pool.PlanVersion(query)
	assert.Assert(t, ok)
	assert.Equal(t, planned, "v1", "v2 is ejected")
	clk.now = clk.now.Add(2 * time.Second)
	for range 2 {
		planned, _ = pool.PlanVersion(query)
		assert.Equal(t, planned, "v2", "its probe is due")
	}
	probe, err := pool.Acquire(backend.Query{Service: "app", Key: "program", Version: &planned})
	assert.NilError(t, err)
	assert.Equal(t, probe.Instance.ID, "i2")
	planned, _ = pool.PlanVersion(query)
	assert.Equal(t, planned, "v1", "the probe is under way")
}

// TestLeavingInstancesAcceptNoVersion covers a version whose last instances are leaving.
func TestLeavingInstancesAcceptNoVersion(t *testing.T) {
	pool := newPool(newClock(), 0)
	instances := versioned("v1", "v2")
	instances[0].Leaving = true
	pool.Replace(instances)
	assert.Assert(t, !pool.AcceptsVersion("app", "v1"))
	assert.Assert(t, pool.AcceptsVersion("app", "v2"))
	assert.Assert(t, !pool.AcceptsVersion("other", "v2"))
	planned, ok := pool.PlanVersion(backend.Query{Service: "app"})
	assert.Assert(t, ok)
	assert.Equal(t, planned, "v2")
	_, ok = pool.PlanVersion(backend.Query{Service: "other"})
	assert.Assert(t, !ok)
}

// TestOtherVersionIsOtherIncarnation guards against health and connections of a process
// being taken for those of the next one, which has the same id and another version.
func TestOtherVersionIsOtherIncarnation(t *testing.T) {
	pool := newPool(newClock(), 0)
	restarted := 0
	pool.OnRestarted(func(backend.Restart) { restarted++ })
	pool.Replace(versioned("v1", "v1"))
	for range 3 {
		acquireAt(t, pool, "i0", 2).Release(backend.Failed{})
	}
	assert.Equal(t, acquireAt(t, pool, "i0", 2).Release(backend.Inconclusive{}), limit.Ejected)
	pool.Replace(versioned("v2", "v1"))
	assert.Equal(t, restarted, 1)
	assert.Equal(t, acquireAt(t, pool, "i0", 2).Release(backend.Inconclusive{}), limit.Healthy)
}
