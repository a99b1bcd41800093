package repair

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/shard"
)

func TestIsWhole(t *testing.T) {
	moves := func(reasons ...shard.Reason) shard.Outcome {
		var outcome shard.Outcome
		for _, reason := range reasons {
			outcome.Moves = append(outcome.Moves, shard.Move{Reason: reason})
		}
		return outcome
	}
	assert.Assert(t, isWhole(moves()))
	assert.Assert(t, isWhole(moves(shard.ReasonLeaving)), "a node that leaves is still there")
	assert.Assert(t, !isWhole(moves(shard.ReasonGone)))
	assert.Assert(t, !isWhole(moves(shard.ReasonLeaving, shard.ReasonForgotten)))
	assert.Assert(t, !isWhole(shard.Outcome{Lost: []shard.LostSet{{}}}))
}
