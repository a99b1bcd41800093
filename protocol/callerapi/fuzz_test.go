package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

// FuzzChatRequest checks that every body is either refused with an error for
// the caller or gives the messages that encoding/json finds in it.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		`{"messages":[{"role":"user","content":"Which grind?"}],"stream":true,"max_tokens":5}`,
		`{"messages":[{"role":"user","content":[{"type":"text","text":"é"}]}],"stream_options":{"include_usage":true}}`,
		`{"messages":[{"role":"assistant","tool_calls":[{"id":"a"}]},{"role":"tool","tool_call_id":"a","content":" "}]}`,
		`{"messages":[{"role":"user","content":"\ud800"}],"n":1,"model":null}`,
		`{"messages":[{"role":"user"`, `{"n":1e3}`, `{ "messages" : [ {"role":"user","content":"\\\" ]}","x":[{},[ ]]} ] , "\u006e":1}`, `[1,2]`, `{"a":1,"a":2}`, "{} {}", "\xff", "", "null",
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
		var fields map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(body, &fields))
		var messages []json.RawMessage
		assert.NilError(t, json.Unmarshal(fields["messages"], &messages))
		assert.Assert(t, len(messages) > 0)
		assert.Assert(t, slices.EqualFunc(request.Messages, messages, func(actual, expected json.RawMessage) bool {
			var compact bytes.Buffer
			assert.NilError(t, json.Compact(&compact, expected))
			return compact.String() == string(actual)
		}))
	})
}
