package storage

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

// fixedShards has one shard whose copy lacks the answer of a member, and one that is whole.
type fixedShards struct{ lackingSince time.Time }

func (f fixedShards) Statuses() []shard.Status {
	members := []register.Member{{Node: "a", Incarnation: "a-1", Address: "10.0.0.1:7000"}}
	return []shard.Status{
		{
			Shard: 0, View: register.View{Epoch: 3, Members: members}, DecidedEpoch: 3, DataEpoch: 2,
			State: shard.ReplicaMissing, LackingSince: f.lackingSince,
			Copy: shard.Copy{Phase: shard.CopyIdle, Answers: map[string]shard.SourceAnswer{
				"b": {Node: "b", Phase: shard.CopyListing, At: f.lackingSince, Error: "refused: not ready"},
				"a": {Node: "a", Phase: shard.CopyListing, At: f.lackingSince},
			}},
		},
		{Shard: 1, View: register.View{Shard: 1, Epoch: 1, Members: members}, State: shard.ReplicaWhole, Copy: shard.Copy{Phase: shard.CopyIdle}},
	}
}

func (fixedShards) CopiedTotal() (turns, bytes uint64) { return 7, 700 }

// TestOperatorListsShards guards against a shard without a whole copy of which no node tells
// what it waits for.
func TestOperatorListsShards(t *testing.T) {
	since := time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	handler := withShards(fixedShards{since}, http.NotFoundHandler())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, shardsPath, nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	var entries []shardEntry
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &entries))
	assert.Equal(t, len(entries), 2)
	lacking := entries[0]
	assert.Equal(t, lacking.State, shard.ReplicaMissing)
	assert.Equal(t, lacking.Epoch, uint64(3))
	assert.DeepEqual(t, lacking.Members, []memberEntry{{Node: "a", Incarnation: "a-1", Address: "10.0.0.1:7000"}})
	assert.Assert(t, lacking.LackingSince.Equal(since))
	assert.Equal(t, len(lacking.Copy.Answers), 2)
	assert.Equal(t, lacking.Copy.Answers[0].Node, "a")
	assert.Equal(t, lacking.Copy.Answers[1].Error, "refused: not ready")
	assert.Equal(t, strings.Count(recorder.Body.String(), "lacking_since"), 1, "a whole shard lacks nothing")
}

// TestShardMetricsCountReplicasByState checks the counts, and the age of the oldest copy.
func TestShardMetricsCountReplicasByState(t *testing.T) {
	metrics := NewShardMetrics(fixedShards{time.Now().Add(-time.Minute)})
	expected := `# HELP marblering_shard_replicas Shards that this node is a member of: whole, copying, or missing their data with no copy under way.
# TYPE marblering_shard_replicas gauge
marblering_shard_replicas{state="copying"} 0
marblering_shard_replicas{state="missing"} 1
marblering_shard_replicas{state="whole"} 1
# HELP marblering_shard_epoch Newest open epoch that this node knows of a shard.
# TYPE marblering_shard_epoch gauge
marblering_shard_epoch{shard="0"} 3
marblering_shard_epoch{shard="1"} 1
`
	assert.NilError(t, testutil.CollectAndCompare(metrics, strings.NewReader(expected), "marblering_shard_replicas", "marblering_shard_epoch"))
	registry := prometheus.NewRegistry()
	registry.MustRegister(metrics)
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == "marblering_shard_oldest_copy_seconds" {
			assert.Assert(t, family.GetMetric()[0].GetGauge().GetValue() >= time.Minute.Seconds())
			return
		}
	}
	t.Fatal("no age of the oldest copy")
}
