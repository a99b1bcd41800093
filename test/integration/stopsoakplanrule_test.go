package integration

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopPlan guards against seeds that draw other faults at each run, or that lose more
// disks at a time than storage nodes can lose.
func TestStopPlan(t *testing.T) {
	const span = time.Minute
	for seed := range uint64(500) {
		plan := newStopPlan(seed, 4, 3, span)
		assert.Assert(t, slices.Equal(plan.steps, newStopPlan(seed, 4, 3, span).steps))
		whole := storageWholeFrom(t, seed, plan)
		if plan.finalWipe >= 0 {
			assert.Assert(t, whole <= span, "seed %d: a storage node catches up at the final wipe", seed)
		}
	}
}

// storageWholeFrom checks the steps of storage nodes and returns from when on none of them
// is catching up.
func storageWholeFrom(t *testing.T, seed uint64, plan *stopPlan) (whole time.Duration) {
	t.Helper()
	for _, step := range plan.steps {
		switch step.action {
		case wipeStorage:
			assert.Assert(t, step.at >= whole, "seed %d: wipe at %v, whole at %v", seed, step.at, whole)
		case terminateStorage:
			whole = step.at + storageCatchUp
		case returnStorage:
			whole = max(whole, step.at+storageCatchUp)
		}
	}
	return whole
}
