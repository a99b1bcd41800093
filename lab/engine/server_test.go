package engine_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/lab/weightstore"
	"github.com/marblering/marblering/protocol/engineapi"
)

const seed = 7

var question = []json.RawMessage{
	json.RawMessage(`{"role":"system","content":"be brief and answer in Dutch, with the date of the next roast"}`),
	json.RawMessage(`{"role":"user","content":"change my grind, please"}`),
}

var client = engineapi.NewClient(http.DefaultClient)

// start runs an engine on a free loopback port.
func start(t *testing.T, options engine.Options) (*engine.Server, string) {
	t.Helper()
	options.Models = []string{"m@1"}
	options.Seed = seed
	if options.TimeScale == 0 {
		options.TimeScale = 1000
	}
	server := engine.New(options)
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return server, listener.URL
}

func request(id string, messages []json.RawMessage) engineapi.Request {
	return engineapi.Request{RequestID: id, Model: "m", Messages: messages}
}

func kindOf(err error) engineapi.Kind {
	var failure *engineapi.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

func TestCompletionIsWholeAndRecorded(t *testing.T) {
	server, address := start(t, engine.Options{})
	var streamed strings.Builder
	answer, err := client.Complete(t.Context(), address, request("a/b", question), func(text string) error {
		streamed.WriteString(text)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.Content, engine.ExpectedAnswer(seed, question, 0))
	assert.Equal(t, streamed.String(), answer.Content)
	assert.Equal(t, answer.FinishReason, engineapi.FinishStop)
	assert.Equal(t, answer.Usage.PromptTokens, engine.PromptTokens(question))

	resumed, err := client.Resume(t.Context(), address, engineapi.Completion{ID: "a/b", Chunks: 3}, nil)
	assert.NilError(t, err)
	assert.Equal(t, resumed.Content, answer.Content[12:])
	assert.Equal(t, resumed.Chunks, answer.Chunks)

	entry := server.Ledger().After(0)[0]
	digest, err := engine.ChainDigest(question)
	assert.NilError(t, err)
	assert.Equal(t, entry.Digest, digest)
	assert.Equal(t, entry.Outcome, ledger.Done)
	assert.Equal(t, entry.OutputTokens, answer.Usage.OutputTokens)
}

func TestOptionsAreChecked(t *testing.T) {
	for _, test := range []struct {
		options engine.Options
		want    string
	}{
		{engine.Options{Generation: "gen9"}, "unknown generation"},
		{engine.Options{TimeScale: -1}, "time scale"},
		{engine.Options{CacheEventLoss: 2}, "cache event loss"},
		{engine.Options{LoadLag: -1}, "negative"},
		{engine.Options{Models: []string{"@1"}}, "no name"},
	} {
		assert.ErrorContains(t, test.options.Check(), test.want)
	}
	assert.NilError(t, engine.Options{Generation: "gen1", Models: []string{"m", "n@2"}}.Check())
}

func TestWholeAnswerAndBadBodies(t *testing.T) {
	server, address := start(t, engine.Options{})
	whole := `{"request_id":"r1","model":"m","messages":[{"role":"user","content":"hello"}]}`
	for _, test := range []struct {
		body   string
		status int
	}{
		{"", http.StatusBadRequest},
		{"[]", http.StatusBadRequest},
		{`{"request_id":"r1","model":"m","messages":[5]}`, http.StatusBadRequest},
		{`{"request_id":1}`, http.StatusBadRequest},
		{whole, http.StatusOK},
		{whole, http.StatusConflict},
	} {
		response, err := http.Post(address+"/v1/chat/completions", "application/json", strings.NewReader(test.body))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, test.status, "%s", test.body)
		var answer engineapi.ChatChunk
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
		assert.NilError(t, response.Body.Close())
		if test.status != http.StatusOK {
			assert.Assert(t, answer.Error.Message != "")
			continue
		}
		assert.Equal(t, answer.ID, "r1")
		messages := []json.RawMessage{json.RawMessage(`{"role":"user","content":"hello"}`)}
		assert.Equal(t, answer.Choices[0].Message.Content, engine.ExpectedAnswer(seed, messages, 0))
		assert.Equal(t, *answer.Choices[0].FinishReason, engineapi.FinishStop)
	}
	assert.Equal(t, len(server.Ledger().After(0)), 2)
}

func TestCacheEventsAreServed(t *testing.T) {
	_, address := start(t, engine.Options{})
	held := request("r1", question)
	held.Hold = "p1"
	answer, err := client.Complete(t.Context(), address, held, nil)
	assert.NilError(t, err)
	var events []engineapi.CacheEvent
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		events, err = client.CacheEvents(t.Context(), address, 0)
		assert.NilError(t, err)
		if len(events) > 0 {
			return poll.Success()
		}
		return poll.Continue("no cache events yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	tokens := (answer.Usage.PromptTokens + answer.Usage.OutputTokens) / engine.BlockTokens * engine.BlockTokens
	assert.DeepEqual(t, events, []engineapi.CacheEvent{{Number: 1, Kind: engineapi.CacheStored, Program: "p1", Tokens: tokens}})
	events, err = client.CacheEvents(t.Context(), address, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
}

func TestMaxTokensCutsTheAnswer(t *testing.T) {
	_, address := start(t, engine.Options{})
	short := request("r1", question)
	short.MaxTokens = 5
	answer, err := client.Complete(t.Context(), address, short, nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.Content, engine.ExpectedAnswer(seed, question, 5))
	assert.Equal(t, answer.FinishReason, engineapi.FinishLength)
	assert.Equal(t, answer.Usage.OutputTokens, uint64(5))
}

func TestNextTurnFindsItsContext(t *testing.T) {
	_, address := start(t, engine.Options{})
	first := request("r1", question)
	first.Hold = "p1"
	answer, err := client.Complete(t.Context(), address, first, nil)
	assert.NilError(t, err)

	said, err := json.Marshal(engineapi.ChatMessage{Role: "assistant", Content: answer.Content})
	assert.NilError(t, err)
	longer := append(question[:2:2], said, json.RawMessage(`{"role":"user","content":"and pause it"}`))
	second := request("r2", longer)
	second.Hold = "p1"
	next, err := client.Complete(t.Context(), address, second, nil)
	assert.NilError(t, err)
	kept := answer.Usage.PromptTokens + answer.Usage.OutputTokens
	assert.Equal(t, next.Usage.CachedTokens, kept/engine.BlockTokens*engine.BlockTokens)

	holds, err := client.Holds(t.Context(), address)
	assert.NilError(t, err)
	kept = next.Usage.PromptTokens + next.Usage.OutputTokens
	assert.DeepEqual(t, holds, []engineapi.Hold{{Program: "p1", Tokens: kept / engine.BlockTokens * engine.BlockTokens}})
	assert.NilError(t, client.Release(t.Context(), address, "p1"))
	holds, err = client.Holds(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, len(holds), 0)
}

func TestRefusals(t *testing.T) {
	server, address := start(t, engine.Options{MemoryTokens: 512})
	long := []json.RawMessage{json.RawMessage(`{"role":"user","content":"` + strings.Repeat("x", 4096) + `"}`)}
	other := request("r2", question)
	other.Model = "other"
	adapted := request("r2", question)
	adapted.Adapter = "none"
	_, err := client.Complete(t.Context(), address, request("r1", question), nil)
	assert.NilError(t, err)

	for _, test := range []struct {
		request    engineapi.Request
		kind       engineapi.Kind
		dispatched bool
		drain      bool
	}{
		{request: request("r1", question), kind: engineapi.Duplicate, dispatched: true},
		{request: other, kind: engineapi.NotLoaded},
		{request: adapted, kind: engineapi.NotLoaded},
		{request: request("", question), kind: engineapi.Refused},
		{request: request("r2", nil), kind: engineapi.Refused},
		{request: request("r2", long), kind: engineapi.Refused},
		{request: request("r2", question), kind: engineapi.Leaving, drain: true},
	} {
		if test.drain {
			server.Drain()
		}
		_, err := client.Complete(t.Context(), address, test.request, nil)
		var failure *engineapi.Error
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind, test.kind)
		assert.Equal(t, failure.Dispatched, test.dispatched)
		assert.Equal(t, failure.RetryAfter > 0, test.drain)
	}
	completed := 0
	for _, entry := range server.Ledger().After(0) {
		if entry.Outcome == ledger.Done {
			completed++
		}
	}
	assert.Equal(t, completed, 1)
}

func TestFaultsNeverPassAsWholeAnswers(t *testing.T) {
	three := 3
	for _, test := range []struct {
		name   string
		faults engine.Faults
		kind   engineapi.Kind
		text   bool
	}{
		{"drop", engine.Faults{DropAfterChunks: &three}, engineapi.Truncated, true},
		{"end", engine.Faults{EndAfterChunks: &three}, engineapi.Truncated, true},
		{"repeat", engine.Faults{RepeatChunk: &three}, engineapi.Crossed, false},
		{"cross", engine.Faults{CrossIDs: true}, engineapi.Crossed, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, address := start(t, engine.Options{})
			test.faults.Answers = 1
			server.SetFaults(test.faults)
			partial, err := client.Complete(t.Context(), address, request("r1", question), nil)
			assert.Equal(t, kindOf(err), test.kind)
			whole := engine.ExpectedAnswer(seed, question, 0)
			if test.text {
				assert.Equal(t, partial.Content, whole[:12])
			}
			next, err := client.Complete(t.Context(), address, request("r2", question), nil)
			assert.NilError(t, err)
			assert.Equal(t, next.Content, whole)
		})
	}
}

func TestHangingAnswerIsCancelled(t *testing.T) {
	server, address := start(t, engine.Options{TimeScale: 0.1})
	response, err := http.Post(address+"/control/faults", "application/json", strings.NewReader(`{"hang_after_chunks":1}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	patience := errors.New("out of patience")
	_, err = client.Complete(t.Context(), address, request("r1", question), func(string) error { return patience })
	assert.ErrorIs(t, err, patience)
	assert.Equal(t, kindOf(err), engineapi.Abandoned)
	assert.NilError(t, client.Cancel(t.Context(), address, "r1"))
	partial, err := client.Resume(t.Context(), address, engineapi.Completion{ID: "r1"}, nil)
	assert.Equal(t, kindOf(err), engineapi.Cancelled)
	assert.Assert(t, strings.HasPrefix(engine.ExpectedAnswer(seed, question, 0), partial.Content))
	assert.Equal(t, server.Ledger().After(0)[0].Outcome, ledger.Cancelled)
	assert.Equal(t, kindOf(client.Cancel(t.Context(), address, "r2")), engineapi.NotLoaded)
}

func TestDroppedAnswerIsResumed(t *testing.T) {
	server, address := start(t, engine.Options{})
	three := 3
	server.SetFaults(engine.Faults{DropAfterChunks: &three})
	partial, err := client.Complete(t.Context(), address, request("r1", question), nil)
	assert.Equal(t, kindOf(err), engineapi.Truncated)
	rest, err := client.Resume(t.Context(), address, engineapi.Completion{ID: "r1", Chunks: partial.Chunks}, nil)
	assert.NilError(t, err)
	assert.Equal(t, partial.Content+rest.Content, engine.ExpectedAnswer(seed, question, 0))
}

func TestRefusedReleaseIsAnError(t *testing.T) {
	server, address := start(t, engine.Options{})
	server.SetFaults(engine.Faults{RefuseReleases: true})
	assert.Equal(t, kindOf(client.Release(t.Context(), address, "p1")), engineapi.Failed)
	server.SetFaults(engine.Faults{})
	assert.NilError(t, client.Release(t.Context(), address, "p1"))
}

func TestContextMovesToAnotherEngine(t *testing.T) {
	_, from := start(t, engine.Options{})
	_, to := start(t, engine.Options{})
	held := request("r1", question)
	held.Hold = "p1"
	_, err := client.Complete(t.Context(), from, held, nil)
	assert.NilError(t, err)
	exported, err := client.Export(t.Context(), from, "p1")
	assert.NilError(t, err)
	assert.NilError(t, client.Import(t.Context(), to, exported))
	answer, err := client.Complete(t.Context(), to, held, nil)
	assert.NilError(t, err)
	assert.Assert(t, answer.Usage.CachedTokens > 0)
	_, err = client.Export(t.Context(), from, "p2")
	assert.Equal(t, kindOf(err), engineapi.NotLoaded)
}

func TestOrdersAreFenced(t *testing.T) {
	_, address := start(t, engine.Options{})
	state, err := client.Order(t.Context(), address, engineapi.Order{Fence: 5, Action: engineapi.SetRole, Name: "decode"})
	assert.NilError(t, err)
	assert.Equal(t, state.Role, "decode")
	_, err = client.Order(t.Context(), address, engineapi.Order{Fence: 4, Action: engineapi.Drain})
	var failure *engineapi.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind, engineapi.Stale)
	assert.Equal(t, failure.Fence, uint64(5))
	state, err = client.State(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, !state.Leaving)
	assert.DeepEqual(t, state.Versions, []engineapi.Version{{Name: "m", Version: "1"}})
}

func TestWeightsAreFetchedFromTheStore(t *testing.T) {
	store := weightstore.New(weightstore.Options{Size: 100_000})
	weights := httptest.NewServer(store)
	defer weights.Close()
	_, address := start(t, engine.Options{WeightStore: weights.URL})
	order := engineapi.Order{Fence: 1, Action: engineapi.LoadAdapter, Name: "a", Version: "3"}
	settled := func() engineapi.State {
		_, err := client.Order(t.Context(), address, order)
		assert.NilError(t, err)
		var state engineapi.State
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			state, err = client.State(t.Context(), address)
			assert.NilError(t, err)
			if len(state.Loading) == 0 {
				return poll.Success()
			}
			return poll.Continue("loading %v", state.Loading)
		}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
		return state
	}
	store.SetFaults(weightstore.Faults{DropAfterBytes: 1})
	assert.Equal(t, len(settled().Adapters), 0)
	store.SetFaults(weightstore.Faults{})
	assert.DeepEqual(t, settled().Adapters, []string{"a"})
	adapted := request("r1", question)
	adapted.Adapter = "a"
	_, err := client.Complete(t.Context(), address, adapted, nil)
	assert.NilError(t, err)
}

func TestDrainCutsNoAnswer(t *testing.T) {
	server, address := start(t, engine.Options{TimeScale: 10})
	answer, err := client.Complete(t.Context(), address, request("r1", question), func(string) error {
		server.Drain()
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.Content, engine.ExpectedAnswer(seed, question, 0))
}

func TestClosedEngineEndsItsAnswers(t *testing.T) {
	server, address := start(t, engine.Options{TimeScale: 0.01})
	arrived := make(chan error)
	go func() {
		_, err := client.Complete(t.Context(), address, request("r1", question), nil)
		arrived <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(server.Ledger().After(0)) > 0 {
			return poll.Success()
		}
		return poll.Continue("the request hasn't arrived")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	server.Close()
	assert.Equal(t, kindOf(<-arrived), engineapi.Failed)
	assert.Equal(t, server.Ledger().After(0)[0].Outcome, ledger.Failed)
	_, err := client.Complete(t.Context(), address, request("r2", question), nil)
	assert.Equal(t, kindOf(err), engineapi.Leaving)
}

func TestLoadIsReported(t *testing.T) {
	_, address := start(t, engine.Options{})
	load, err := client.Load(t.Context(), address)
	assert.NilError(t, err)
	generation, _ := engine.FindGeneration("")
	assert.Equal(t, load.CacheLimitTokens, float64(generation.MemoryTokens))
	assert.Equal(t, load.PrefillTokensPerSecond, generation.PrefillRate*1000)
}
