package execution_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/test/bubble"
)

// silentEngines don't answer a release, but for one engine.
type silentEngines struct {
	execution.Engines
	answers string
}

func (s silentEngines) Release(ctx context.Context, address, _ string) error {
	if address == s.answers {
		return ctx.Err()
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentEnginesLeaveTimeForOtherReleases guards against engines that are silent and use
// up the time of a sweep, round after round, before the others are asked.
func TestSilentEnginesLeaveTimeForOtherReleases(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleetOfExecutors("node-1")
		id := f.program(t, 10000)
		tree := f.records.trees[program.RootOf(id)]
		for _, engine := range []string{"engine-1", "engine-2", "engine-3"} {
			tree.Holds = append(tree.Holds, &statev1.Hold{Program: id, Engine: engine, EngineAddress: engine})
		}
		f.nodes["node-1"].Engines = silentEngines{Engines: f.engines, answers: "engine-3"}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.nodes["node-1"].ReleaseHolds(ctx, f.tree(id))
		var held []string
		for _, hold := range f.tree(id).GetHolds() {
			held = append(held, hold.GetEngine())
		}
		assert.DeepEqual(t, held, []string{"engine-1", "engine-2"})
	})
}
