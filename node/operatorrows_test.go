package node

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/protocol/operator"
)

// TestRowsOfTheConfiguration gives the table of objects, in order and with who
// wrote them.
func TestRowsOfTheConfiguration(t *testing.T) {
	snapshot, err := (*configuration.Snapshot)(nil).Apply(12, []configuration.Object{
		object(configuration.KindModel, "small", 11, `{"context_tokens":1000,"default_max_tokens":10}`),
		object(configuration.KindNode, "n1", 12, `{"draining":true,"written_by":{"command_id":"c-1","operator":"ada"}}`),
	})
	assert.NilError(t, err)
	holder := configuration.NewHolder()
	assert.Assert(t, holder.Move(snapshot))
	rows := &operatorBackend{node: &Node{holder: holder}}
	listing, err := rows.Configuration(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, listing, operator.Listing[operator.ConfigurationRow]{Rows: []operator.ConfigurationRow{
		{Kind: "model", Name: "small", Version: 11, Body: `{"context_tokens":1000,"default_max_tokens":10}`},
		{Kind: "node", Name: "n1", Version: 12, Operator: "ada", Command: "c-1", Body: `{"draining":true,"written_by":{"command_id":"c-1","operator":"ada"}}`},
	}})
	assert.Equal(t, rows.version(configuration.KindModel, "small"), uint64(11))
	assert.Equal(t, rows.version(configuration.KindModel, "large"), uint64(0))
}

func object(kind configuration.Kind, name string, version uint64, body string) configuration.Object {
	return configuration.Object{Key: configuration.Key{Kind: kind, Name: name}, Version: version, Body: json.RawMessage(body)}
}

func TestRowOfAPoolCountsItsEngines(t *testing.T) {
	pool := &configuration.Pool{
		Header: configuration.Header{Name: "old"}, Zones: []string{"hall-a"}, Models: []string{"small"},
		Roles: []configuration.Role{configuration.RoleMixed}, MinimumEngines: 1,
	}
	engines := []operator.EngineRow{{Pool: "old", State: operator.StateServing}, {Pool: "old", State: operator.StateDrained}, {Pool: "new"}}
	assert.DeepEqual(t, poolRow(pool, engines), operator.PoolRow{
		Name: "old", Zones: []string{"hall-a"}, Models: []string{"small"}, Roles: []string{"mixed"}, MinimumEngines: 1,
		Engines: 2, ServingEngines: 1,
	})
}

func TestRowOfADecision(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	explained := fleet.DecisionRecord{At: at, Decision: routing.Decision{Engine: "e2", Reason: "why", Candidates: []routing.Candidate{
		{
			Engine: "e2", Cost: 1, Queue: 2, Prefill: 3, Decode: 4, Transfer: 5, Network: 6, Interference: 7, WastedCache: 8,
			Eviction: 9, CachedTokens: 10, Source: "e3",
		},
		{Engine: "e1", Rejected: routing.FilterModel},
	}}}
	assert.DeepEqual(t, decisionRow("n1", explained), operator.Decision{
		At: at, Node: "n1", Engine: "e2", Reason: "why", Candidates: []operator.Candidate{
			{
				Engine: "e2", Cost: 1, Queue: 2, Prefill: 3, Decode: 4, Transfer: 5, Network: 6, Interference: 7, WastedCache: 8,
				Eviction: 9, CachedTokens: 10, Source: "e3",
			},
			{Engine: "e1", Rejected: "model not loaded"},
		},
	})
}
