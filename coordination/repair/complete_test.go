package repair

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/shard"
)

// TestIsComplete guards against a node that reports readiness while a set lacks a member.
func TestIsComplete(t *testing.T) {
	moves := func(reasons ...shard.Reason) shard.PlanResult {
		var outcome shard.PlanResult
		for _, reason := range reasons {
			outcome.Moves = append(outcome.Moves, shard.Move{Reason: reason})
		}
		return outcome
	}
	assert.Assert(t, isComplete(moves()))
	assert.Assert(t, isComplete(moves(shard.ReasonLeaving)), "a leaving node still holds its data")
	assert.Assert(t, !isComplete(moves(shard.ReasonGone)))
	assert.Assert(t, !isComplete(moves(shard.ReasonLeaving, shard.ReasonNewIncarnation)))
	assert.Assert(t, !isComplete(shard.PlanResult{Lost: []shard.LostSet{{}}}))
}
