package callerapi

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

// FuzzChatRequest checks that every body is either refused with an error for
// the caller or gives messages that are accepted again unchanged.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		`{"messages":[{"role":"user","content":"Which grind?"}],"stream":true,"max_tokens":5}`,
		`{"messages":[{"role":"user","content":[{"type":"text","text":"é"}]}],"stream_options":{"include_usage":true}}`,
		`{"messages":[{"role":"assistant","tool_calls":[{"id":"a"}]},{"role":"tool","tool_call_id":"a","content":" "}]}`,
		`{"messages":[{"role":"user","content":"\ud800"}],"n":1,"model":null}`,
		`{"messages":[{"role":"user"`, `{"n":1e3}`, `[1,2]`, `{"a":1,"a":2}`, "{} {}", "\xff", "", "null",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseChatRequest(body)
		if err != nil {
			var failure *result.Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Code, result.BadRequest)
			return
		}
		assert.Assert(t, len(request.Messages) > 0)
		again, err := json.Marshal(map[string][]json.RawMessage{"messages": request.Messages})
		assert.NilError(t, err)
		repeated, err := parseChatRequest(again)
		assert.NilError(t, err)
		assert.Assert(t, slices.EqualFunc(request.Messages, repeated.Messages, func(a, b json.RawMessage) bool {
			return equalJSON(t, a, b)
		}))
	})
}

// equalJSON compares values: encoding a message again may escape it anew.
func equalJSON(t *testing.T, a, b json.RawMessage) bool {
	var left, right any
	assert.NilError(t, json.Unmarshal(a, &left))
	assert.NilError(t, json.Unmarshal(b, &right))
	first, err := json.Marshal(left)
	assert.NilError(t, err)
	second, err := json.Marshal(right)
	assert.NilError(t, err)
	return string(first) == string(second)
}
