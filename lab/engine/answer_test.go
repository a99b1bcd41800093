package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawMessages(t *rapid.T) []json.RawMessage {
	var messages []json.RawMessage
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		plain := message{
			Role:    rapid.SampledFrom([]string{"user", "assistant", "system", "tool"}).Draw(t, "role"),
			Content: rapid.String().Draw(t, "content"),
		}
		raw, err := json.Marshal(plain)
		assert.NilError(t, err)
		messages = append(messages, raw)
	}
	return messages
}

// TestTurnsContinueEachOther checks that a prompt and its answer begin the next
// turn's prompt, and that a prompt's tokens are bounded by its size.
func TestTurnsContinueEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := drawMessages(t)
		answer := ExpectedAnswer(7, messages, rapid.Uint64Range(0, 40).Draw(t, "max tokens"))
		said, err := json.Marshal(message{Role: "assistant", Content: answer})
		assert.NilError(t, err)
		next := append(messages[:len(messages):len(messages)], said, json.RawMessage(`{"role":"user","content":"more"}`))
		want := append(segments(messages), segmentOf([]byte(answer)))
		assert.DeepEqual(t, segments(next)[:len(want)], want)
		size := 0
		for _, raw := range messages {
			size += len(raw)
		}
		assert.Assert(t, PromptTokens(messages) <= uint64(tokensOf(size)))
	})
}

func TestAnswerDependsOnTheWholeChain(t *testing.T) {
	chain := func(parts ...string) []json.RawMessage {
		var messages []json.RawMessage
		for _, part := range parts {
			messages = append(messages, json.RawMessage(part))
		}
		return messages
	}
	first := `{"role":"user","content":"open valve 7"}`
	last := `{"role":"user","content":"<b>én</b> more text than an answer repeats"}`
	base := ExpectedAnswer(1, chain(first, last), 0)
	assert.Assert(t, strings.HasPrefix(base, `re "<b>\u00e9n</b> more text than" [`), base)
	assert.Equal(t, base, ExpectedAnswer(1, chain(`{ "content":"open valve 7", "role":"user"}`, last), 0))
	seen := map[string]bool{base: true}
	for _, messages := range [][]json.RawMessage{
		chain(last),
		chain(last, first, last),
		chain(`{"role":"user","content":"open valve 8"}`, last),
		chain(`{"role":"system","content":"open valve 7"}`, last),
		chain(`{"role":"user","content":"open valve 7","name":"x"}`, last),
	} {
		other := ExpectedAnswer(1, messages, 0)
		assert.Assert(t, !seen[other])
		seen[other] = true
	}
	assert.Assert(t, !seen[ExpectedAnswer(2, chain(first, last), 0)])
	_, err := ChainDigest(chain(first, `"text"`))
	assert.ErrorContains(t, err, "messages[1]")
}
