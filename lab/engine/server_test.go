package engine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
)

const seed = 7

var question = []json.RawMessage{
	json.RawMessage(`{"role":"system","content":"be brief"}`),
	json.RawMessage(`{"role":"user","content":"change my grind, please"}`),
}

// start runs an engine on a free loopback port.
func start(t *testing.T) (*engine.Server, string) {
	t.Helper()
	server := engine.New(engine.Options{Name: "e1", Models: []string{"m"}, Seed: seed, TimeScale: 1000})
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return server, listener.URL
}

func TestCompletionIsWholeAndRecorded(t *testing.T) {
	server, address := start(t)
	client := engineapi.NewClient(http.DefaultClient)
	var streamed strings.Builder
	request := engineapi.Request{RequestID: "r1", Model: "m", Messages: question, Hold: "p1"}
	answer, err := client.Complete(t.Context(), address, request, func(text string) error {
		streamed.WriteString(text)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.Content, engine.ExpectedAnswer(seed, question, 0))
	assert.Equal(t, streamed.String(), answer.Content)
	assert.Equal(t, answer.FinishReason, engineapi.FinishStop)
	tokens, err := engine.PromptTokens(question)
	assert.NilError(t, err)
	assert.Equal(t, answer.Usage.PromptTokens, tokens)

	resumed, err := client.Resume(t.Context(), address, "r1", 3, nil)
	assert.NilError(t, err)
	assert.Equal(t, resumed.Content, answer.Content[12:])

	holds, err := client.Holds(t.Context(), address)
	assert.NilError(t, err)
	assert.DeepEqual(t, holds, []engineapi.Hold{{Program: "p1", Tokens: tokens + answer.Usage.OutputTokens}})
	assert.NilError(t, client.Release(t.Context(), address, "p1"))
	holds, err = client.Holds(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, len(holds), 0)

	entry := server.Ledger().After(0)[0]
	digest, err := engine.ChainDigest(question)
	assert.NilError(t, err)
	assert.Equal(t, entry.Digest, digest)
	assert.Equal(t, entry.Outcome, ledger.Done)
}

func TestRefusals(t *testing.T) {
	server, address := start(t)
	client := engineapi.NewClient(http.DefaultClient)
	send := func(id, model string) *engineapi.Error {
		_, err := client.Complete(t.Context(), address, engineapi.Request{RequestID: id, Model: model, Messages: question}, nil)
		failure, _ := err.(*engineapi.Error)
		return failure
	}
	assert.Assert(t, send("r1", "m") == nil)
	duplicate := send("r1", "m")
	assert.Equal(t, duplicate.Kind, engineapi.Duplicate)
	assert.Assert(t, duplicate.Dispatched)
	missing := send("r2", "other")
	assert.Equal(t, missing.Kind, engineapi.NotLoaded)
	assert.Assert(t, !missing.Dispatched)
	server.Drain()
	leaving := send("r3", "m")
	assert.Equal(t, leaving.Kind, engineapi.Leaving)
	assert.Assert(t, !leaving.Dispatched)
	assert.Assert(t, leaving.RetryAfter > 0)
}
