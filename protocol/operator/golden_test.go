package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/protocol/operator"
	"github.com/marblering/marblering/state/result"
)

// fullBackend has one row of each table with a value in every field.
type fullBackend struct{ *backend }

func rowsOf[R any](row R) (operator.Listing[R], error) {
	return operator.Listing[R]{Rows: []R{row}, Incomplete: "shard 3 didn't answer"}, nil
}

func (fullBackend) Programs(context.Context, operator.Hint) (operator.Listing[operator.ProgramRow], error) {
	return rowsOf(operator.ProgramRow{
		ID: "p1", Parent: "p0", Tenant: "t1", Model: "m", Adapter: "a", State: operator.ProgramRunning, EndReason: "done <now>",
		Priority: 2, BudgetTokens: 900, ReservedTokens: 40, SpentTokens: 300, NextSequence: 5, Turns: 4, HistoryTokens: 260,
		Shard: 3, Node: "n1", Idle: 1500 * time.Millisecond, Holds: []string{"e1", "e2"},
	})
}

func (fullBackend) Calls(context.Context, operator.Hint) (operator.Listing[operator.CallRow], error) {
	return rowsOf(operator.CallRow{
		Program: "p1", Sequence: 2, Tenant: "t1", Model: "m", State: "finished", Attempt: 1, Repeatable: true, Engine: "e1",
		Node: "n1", Result: "ok", PromptTokens: 12, OutputTokens: 3,
	})
}

func (fullBackend) Engines(context.Context) (operator.Listing[operator.EngineRow], error) {
	return rowsOf(operator.EngineRow{
		Name: "e1", Pool: "p", Zone: "z1", Generation: "g1", Role: "mixed", State: operator.StateServing, Models: []string{"m"},
		Adapters: []string{"a"}, Running: 1, Waiting: 2, OutstandingTokens: 3, CacheUsedTokens: 4, CacheLimitTokens: 5,
		LoadAge: 250 * time.Millisecond, Address: "http://10.0.0.8:8000", Version: 13,
	})
}

func (fullBackend) Pools(context.Context) (operator.Listing[operator.PoolRow], error) {
	return rowsOf(operator.PoolRow{
		Name: "p", Zones: []string{"z1"}, Models: []string{"m"}, Roles: []string{"mixed"}, MinimumEngines: 1, Engines: 3,
		ServingEngines: 2, Version: 11,
	})
}

func (fullBackend) Nodes(context.Context) (operator.Listing[operator.NodeRow], error) {
	return rowsOf(operator.NodeRow{
		Name: "n1", Zone: "z1", State: operator.StateDraining, Incarnation: "i1", Address: "10.0.0.7:7200", DataFolder: true,
		ConfigurationVersion: 12, Calls: 2, Shards: 3, Age: 90 * time.Second, Version: 14,
	})
}

func (fullBackend) Shards(context.Context) (operator.Listing[operator.ShardRow], error) {
	return rowsOf(operator.ShardRow{Shard: 3, Epoch: 2, Replicas: []string{"n1", "n2"}, Zones: []string{"z1", "z2"}, LiveReplicas: 1, Programs: 9})
}

func (fullBackend) Configuration(context.Context) (operator.Listing[operator.ConfigurationRow], error) {
	return rowsOf(operator.ConfigurationRow{Kind: "node", Name: "n1", Version: 14, Operator: "ada", Command: "c-1", Body: `{"draining":true}`})
}

func (fullBackend) Decisions(context.Context, string) (operator.Listing[operator.Decision], error) {
	candidate := operator.Candidate{
		Engine: "e1", Cost: 1.5, Queue: 0.1, Prefill: 0.2, Decode: 0.3, Transfer: 0.4, Network: 0.5, Interference: 0.6,
		WastedCache: 0.7, Eviction: 0.8, CachedTokens: 9, Source: "e2",
	}
	rejected := operator.Candidate{Engine: "e3", Rejected: "leaving"}
	return operator.Listing[operator.Decision]{Rows: []operator.Decision{
		{
			At: time.Unix(1_700_000_000, 0).UTC(), Node: "n1", Sequence: 2, Attempt: 1, Engine: "e1", Reason: "shorter <queue>",
			Candidates: []operator.Candidate{candidate, rejected},
		},
		{Node: "n2"},
	}}, nil
}

// goldenRequests are statements with what goes with them, in the form of the
// wire.
func goldenRequests() []string {
	texts := []string{
		"programs", "calls", "engines", "pools", "nodes", "shards", "configuration",
		"engines where running = 0", "PROGRAMS WHERE (tenant = t1 OR NOT turns > 3) ORDER BY id DESC LIMIT 5;",
		"explain program p1", "explain call p1/2", "explain call p1/9",
		"drain engine e1 expect version 13 command id c-1", "undrain engine e1 expect version 13", "stop engine e1 expect version 13",
		"start engine e1 expect version 13", "drain node n1 expect version 0", "undrain node n1 expect version 0",
		"reshape engine e2 role mixed models small adapters none expect version 14",
		"reshape pool old roles prefill, decode minimum_engines 2 expect version 11",
		"set engine e1 address http://127.0.0.1:9 zone hall-c generation g2 pool old expect version 13",
		"set tenant t1 weight 1.5 max_concurrent_calls 9 expect version 15",
		"set weights latency 1 wasted_cache 0.25 expect version 0", "set limits default_deadline 30s expect version 0",
		"add model big context_tokens 1_000 default_max_tokens 5", "add adapter a model small",
		"remove engine e1 expect version 13", `stop program p1 reason "loops <without> end"`,
		"enginez", "engines where zome = 1", "drain engine e1", "drain engine e1 expect version 12", "add model m9 context_tokens 5",
	}
	requests := []string{
		`{"text":"drain engine e1 expect version 13"}`,
		`{"text":"drain engine e1 expect version 13","operator":"ada","command_id":"c-9","again":false}`,
		`{"text":"drain engine e1 expect version 13 command id a","operator":"ada","command_id":"b"}`,
		`{"text":"engines","colour":"red"}`,
	}
	for _, text := range texts {
		encoded, _ := json.Marshal(operator.Request{Text: text, Operator: "ada"})
		requests = append(requests, string(encoded))
	}
	return requests
}

// TestAnswersStayAsTheyAre holds the answer to each kind of statement, its
// printed form and what a command wrote to testdata/answers.golden; go test
// ./protocol/operator -update writes it.
func TestAnswersStayAsTheyAre(t *testing.T) {
	var page strings.Builder
	for _, request := range goldenRequests() {
		b := newBackend()
		before := b.version
		fmt.Fprintf(&page, "## %s\n", request)
		answer := exchange(t, &page, fullBackend{b}, request)
		for key, object := range b.objects {
			if object.Version > before {
				fmt.Fprintf(&page, "wrote %s %s\n", key, object.Body)
			}
		}
		for _, ended := range b.ended {
			fmt.Fprintf(&page, "ended %s\n", ended)
		}
		printAnswer(t, &page, answer)
	}
	page.WriteString("## an object API that is down\n")
	b := newBackend()
	b.down = true
	exchange(t, &page, fullBackend{b}, `{"text":"drain engine e1 expect version 13","operator":"ada"}`)
	exchange(t, &page, fullBackend{b}, `{"text":"drain engine e1 expect version 13","operator":"ada","command_id":"c"}`)
	golden.Assert(t, page.String(), "answers.golden")
}

// exchange writes the HTTP answer to the request and returns its body.
func exchange(t *testing.T, page *strings.Builder, b operator.Backend, request string) []byte {
	t.Helper()
	recorder := httptest.NewRecorder()
	operator.NewHandler(newInterpreter(b)).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, operator.Path, strings.NewReader(request)))
	response := recorder.Result()
	var header bytes.Buffer
	assert.NilError(t, response.Header.Write(&header))
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	fmt.Fprintf(page, "%d\n%s\n%s\n", response.StatusCode, strings.ReplaceAll(header.String(), "\r\n", "\n"), body)
	if response.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// printAnswer writes the answer as the command line prints it.
func printAnswer(t *testing.T, page *strings.Builder, body []byte) {
	t.Helper()
	if body == nil {
		return
	}
	var answer operator.Answer
	assert.NilError(t, json.Unmarshal(body, &answer))
	assert.NilError(t, operator.Render(page, answer, operator.OutputTable))
	page.WriteString("\n")
}

// TestGrammarStaysAsItIs holds the grammar, the tables' columns, the commands'
// fields and the form of a request to testdata/grammar.golden.
func TestGrammarStaysAsItIs(t *testing.T) {
	again := true
	request, err := json.Marshal(operator.Request{Text: "engines", Operator: "ada", CommandID: "c", Again: &again})
	assert.NilError(t, err)
	lines := append([]string{operator.Grammar(), ""}, operator.ReferenceLines()...)
	lines = append(lines, "", http.MethodPost+" "+operator.Path, string(request), "")
	golden.Assert(t, strings.Join(lines, "\n"), "grammar.golden")
}

// TestRemoteErrorsStayAsTheyAre holds what the command line prints of errors.
func TestRemoteErrorsStayAsTheyAre(t *testing.T) {
	detail := operator.ErrorDetail{
		Detail: result.Detail{
			Code: result.SyntaxError, Type: "syntax_error", Message: "column 1: bad", Execution: result.NotRun,
			Repeat: result.RepeatNever, RetryAfterSeconds: 2,
		},
		Column: 1, Caret: "x\n^",
	}
	encoded, err := json.Marshal(operator.ErrorBody{Error: detail})
	assert.NilError(t, err)
	printed := (&operator.RemoteError{Detail: detail}).Error()
	golden.Assert(t, string(encoded)+"\n\n"+printed+"\n", "error.golden")
}

var _ operator.Backend = fullBackend{}
