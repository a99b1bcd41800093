package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/transport/relay"
)

// unavailableTurns refuses all turns for want of a quorum.
type unavailableTurns struct{}

func (unavailableTurns) Begin(context.Context, conversation.Request) (*conversation.Turn, *result.Error) {
	failure := &turnstore.NoQuorumError{Shard: 2, Epoch: 5, Rounds: 4, Tried: 800 * time.Millisecond, Members: []turnstore.MemberAnswer{
		{Node: "a"}, {Node: "b", Reason: turnstore.ReasonNoAnswer}, {Node: "c", Reason: "not_ready"},
	}}
	return nil, result.Errorf(result.HistoryUnavailable, "%v", failure).WithCause(failure)
}

// TestRefusedTurnNamesMissingReplicas guards against a refused turn of which no log line and no
// metric tells which replicas it lacked, and why.
func TestRefusedTurnNamesMissingReplicas(t *testing.T) {
	table, err := routetable.NewTable(routetable.Configuration{
		Version: 1, Services: []routetable.Service{{Name: "app"}},
		Routes: []routetable.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/", Kind: routetable.Stream, Timeout: time.Minute, Attempts: 1,
			Retained: true, Targets: []routetable.Target{{Service: "app", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	tables := &routetable.ActiveTable{}
	tables.Install(table)
	core, logs := observer.New(zapcore.InfoLevel)
	registry := prometheus.NewRegistry()
	handler := relay.New(relay.Options{
		Tables: tables, Backends: backend.NewPool(backend.EjectionPolicy(), time.Now), Upstream: &failingUpstream{}, Crashes: noCrashes{},
		HeaderCodec: plainHeaderCodec{}, Turns: unavailableTurns{}, MaxInFlight: 10,
		IsConfigurationNewest: func() bool { return true }, IsUnready: func() bool { return false },
		Retries: limit.NewRetryBudget(relay.RetryPolicy(), time.Now()),
		Metrics: relay.NewMetrics(registry), Logger: zap.New(core), AccessLogger: zap.NewNop(), Now: time.Now,
	})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	lines := logs.FilterMessage("not answered").All()
	assert.Equal(t, len(lines), 1)
	fields := lines[0].ContextMap()
	assert.Equal(t, fields["shard"], uint32(2))
	assert.Equal(t, fields["epoch"], uint64(5))
	assert.DeepEqual(t, fields["members"], []any{"a done", "b no_answer", "c not_ready"})
	assert.Equal(t, fields["quorum_tried"], 800*time.Millisecond)
	expected := `# HELP marblering_gateway_missing_replicas_total Replicas that a turn lacked when it found no quorum, by the reason of each one's last answer.
# TYPE marblering_gateway_missing_replicas_total counter
marblering_gateway_missing_replicas_total{reason="no_answer"} 1
marblering_gateway_missing_replicas_total{reason="not_ready"} 1
`
	assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(expected), "marblering_gateway_missing_replicas_total"))
}
