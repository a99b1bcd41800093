package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// TestPlanReplacesSoonerIfReplacementStarted guards against waiting for ReplaceAfter although a
// replacement has started, also in shards that it joins later.
func TestPlanReplacesSoonerIfReplacementStarted(t *testing.T) {
	settings := planSettings()
	settings.ReplaceAfterStandby = time.Second
	nodes := planNodes()[:4]
	for index := range nodes {
		nodes[index].Started = planNow.Add(-time.Hour)
	}
	nodes[0].GoneSince = planNow.Add(-2 * time.Second)
	moved, waiting := planView(nodes, 1, 2, 3), planView(nodes, 0, 1, 2)
	waiting.Shard = 1
	plan := func() []shard.Move {
		situation := shard.ClusterState{Now: planNow, Views: []register.View{moved, waiting}, Nodes: nodes}
		return shard.Plan(situation, settings).Moves
	}
	assert.Equal(t, len(plan()), 0, "a node that started long before must not shorten the delay")
	nodes[3].Started = planNow.Add(-time.Second)
	moves := plan()
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].View.Shard, uint32(1))
	assert.Equal(t, sortedIncarnations(moves[0].Members), "[n1-1 n2-1 n3-1]")
	nodes[0].GoneSince = planNow.Add(-settings.ReplaceAfterStandby / 2)
	assert.Equal(t, len(plan()), 0, "a short absence must not move anything")
}
