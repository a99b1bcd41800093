package routing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/routing"
)

func TestReturnsLearnsWhoComesBack(t *testing.T) {
	returns := routing.NewReturns()
	assert.Equal(t, returns.Chance("tenant", time.Hour), 1.0, "nothing is known yet")
	for range 90 {
		returns.Returned("tenant", 10*time.Second)
	}
	for range 10 {
		returns.Left("tenant", 4*time.Minute)
	}
	assert.Equal(t, returns.Chance("tenant", 0), 0.9)
	assert.Equal(t, returns.Chance("tenant", 30*time.Second), 0.0)
	remaining := returns.Remaining("tenant", 2*time.Second)
	assert.Assert(t, remaining >= 8*time.Second && remaining < 10*time.Second, "%s", remaining)
	assert.Equal(t, returns.Chance("other", time.Hour), 1.0)
}

func TestRetention(t *testing.T) {
	const limit = 200_000
	cases := []struct {
		name   string
		used   uint64
		room   uint64
		held   routing.Retained
		action routing.RetentionAction
	}{
		{"kept where memory is free", limit / 2, 0, routing.Retained{Chance: 0.2, Remaining: time.Minute}, ""},
		{"dropped where it won't be used", limit / 2, 0, routing.Retained{Chance: 0.01, Remaining: time.Minute}, routing.DropContext},
		{"dropped where memory is short", limit, 0, routing.Retained{Chance: 0.2, Remaining: time.Minute}, routing.DropContext},
		{"moved to an engine with room", limit, limit / 2, routing.Retained{Chance: 0.9, Remaining: time.Minute}, routing.MoveContext},
		{"kept where no engine has room", limit, limit, routing.Retained{Chance: 0.9, Remaining: time.Minute}, ""},
		{"kept where it is needed soon", limit, limit / 2, routing.Retained{Chance: 0.9, Remaining: time.Second}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(2, 1)
			fleet[0].CacheUsed = c.used
			fleet[1].CacheUsed = c.room
			snapshot := newSnapshot(fleet)
			snapshot.Weights.TransferSpeed = 10_000
			held := c.held
			held.Program, held.Engine, held.Tokens = "p", fleet[0].Name, 10_000
			orders := routing.PlanRetention(snapshot, []routing.Retained{held}, 4)
			if c.action == "" {
				assert.Equal(t, len(orders), 0)
				return
			}
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].Action, c.action)
			assert.Equal(t, orders[0].Target != "", c.action == routing.MoveContext)
		})
	}
}

// TestRetentionDoesNotFlap checks that a plan moves nothing to an engine that
// would then be short of memory itself, and keeps to its bound.
func TestRetentionDoesNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(2, 6).Draw(t, "engines"), 2)
		used := make(map[string]uint64)
		for i := range fleet {
			fleet[i].CacheUsed = rapid.Uint64Range(0, fleet[i].CacheLimit).Draw(t, "used")
			used[fleet[i].Name] = fleet[i].CacheUsed
		}
		snapshot := newSnapshot(fleet)
		snapshot.Weights.TransferSpeed = 10_000
		var held []routing.Retained
		for range rapid.IntRange(0, 30).Draw(t, "held") {
			held = append(held, routing.Retained{
				Program:   rapid.StringN(1, 4, -1).Draw(t, "program"),
				Engine:    fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "engine")].Name,
				Tokens:    rapid.Uint64Range(1, 20_000).Draw(t, "tokens"),
				Chance:    1,
				Remaining: time.Minute,
			})
		}
		const maxMoves = 5
		orders := routing.PlanRetention(snapshot, held, maxMoves)
		assert.Assert(t, len(orders) <= maxMoves)
		for _, order := range orders {
			assert.Assert(t, order.Target != order.Engine)
			used[order.Target] += order.Tokens
		}
		for _, order := range orders {
			assert.Assert(t, float64(used[order.Target]) <= 0.75*float64(fleet[0].CacheLimit))
		}
	})
}
