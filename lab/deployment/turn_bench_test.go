package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/callerapi/client"
	"github.com/marblering/marblering/protocol/engineapi"
)

const (
	turnsOfProgram = 10
	outputTokens   = 16
)

// BenchmarkTurn takes the turns of programs straight at an engine, through the
// node that has the program, and through another node each turn. What the
// system adds to a turn is the difference to the first.
func BenchmarkTurn(b *testing.B) {
	system, err := deployment.Start(b.Context(), deployment.Options{
		Zones: 3, Nodes: 3, Engines: 3, Shards: 16, Seed: 1, TimeScale: 100, Logger: zap.NewNop(),
	})
	assert.NilError(b, err)
	defer func() { assert.NilError(b, system.Close()) }()
	b.Run("engine", func(b *testing.B) { benchmarkEngine(b, system) })
	b.Run("one node", func(b *testing.B) { benchmarkNodes(b, system, 0) })
	b.Run("another node each turn", func(b *testing.B) { benchmarkNodes(b, system, 1) })
}

func question(turn int) string { return fmt.Sprintf("%0200d", turn) }

func benchmarkEngine(b *testing.B, system *deployment.Deployment) {
	caller := engineapi.NewClient(http.DefaultClient)
	var history []json.RawMessage
	for turn := range b.N {
		if turn%turnsOfProgram == 0 {
			history = nil
		}
		history = append(history, chatMessage(b, "user", question(turn)))
		answer, err := caller.Complete(b.Context(), system.EngineAddresses[0], engineapi.Request{
			RequestID: fmt.Sprintf("direct-%d-%d", b.N, turn), Model: deployment.ModelName, Messages: history, MaxTokens: outputTokens,
		}, func(string) error { return nil })
		assert.NilError(b, err)
		history = append(history, chatMessage(b, "assistant", answer.Content))
	}
}

func chatMessage(b *testing.B, role, content string) json.RawMessage {
	b.Helper()
	encoded, err := json.Marshal(callerapi.Message{Role: role, Content: content})
	assert.NilError(b, err)
	return encoded
}

// benchmarkNodes sends a program's turns to the node that is so many further on
// than that of the turn before.
func benchmarkNodes(b *testing.B, system *deployment.Deployment, step int) {
	var nodes []*client.Client
	for _, node := range system.Nodes {
		nodes = append(nodes, client.New("http://"+node.CallerAddress(), deployment.APIKey, http.DefaultClient))
	}
	requests, bytes := traffic(b, system)
	var program callerapi.Program
	for turn := range b.N {
		at := nodes[turn*step%len(nodes)]
		if turn%turnsOfProgram == 0 {
			program = createProgram(b, at)
		}
		_, err := at.Stream(b.Context(), client.Call{
			Program: program.ID, MaxTokens: outputTokens,
			Messages: []callerapi.Message{{Role: "user", Content: question(turn)}},
		}, nil)
		assert.NilError(b, err)
	}
	requestsAfter, bytesAfter := traffic(b, system)
	b.ReportMetric((requestsAfter-requests)/float64(b.N), "requests-between-nodes/op")
	b.ReportMetric((bytesAfter-bytes)/float64(b.N), "B-between-nodes/op")
}

func createProgram(b *testing.B, at *client.Client) callerapi.Program {
	b.Helper()
	created, err := at.CreateProgram(context.Background(), client.ProgramSpec{Model: deployment.ModelName, BudgetTokens: 1 << 40}, "")
	assert.NilError(b, err)
	return created
}

// traffic sums what the nodes have sent each other: requests where they are
// sent, bytes of both sides.
func traffic(b *testing.B, system *deployment.Deployment) (requests, bytes float64) {
	b.Helper()
	for _, node := range system.Nodes {
		families, err := node.Metrics().Gather()
		assert.NilError(b, err)
		for _, family := range families {
			switch family.GetName() {
			case "marblering_peer_requests_total":
				requests += sum(family, "client")
			case "marblering_peer_sent_bytes_total":
				bytes += sum(family, "")
			}
		}
	}
	return requests, bytes
}

// sum adds the counters of a side; of all sides where it is empty.
func sum(family *dto.MetricFamily, side string) (total float64) {
	for _, metric := range family.GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetName() == "side" && (side == "" || label.GetValue() == side) {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}
