package integration

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
)

// TestThreeTurnsThroughThreeNodes sends three dependent turns, each to another
// node. The caller sends its new message only; the engines see the whole chain.
func TestThreeTurnsThroughThreeNodes(t *testing.T) {
	s := newSystem(t, 3, 2)
	id := s.createProgram(t, 0, 100000)
	var chain []json.RawMessage
	for turn, text := range []string{"first question", "second question", "third question"} {
		chain = append(chain, encode(t, userMessage(text)))
		content, whole := s.stream(t, turn, id, text)
		assert.Assert(t, whole)
		assert.Equal(t, content, engine.ExpectedAnswer(engineSeed, chain, 64))
		chain = append(chain, encode(t, struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		}{"assistant", content}))
	}
	var messages []int
	for index := range s.engines {
		for _, entry := range s.ledger(t, index) {
			if entry.Kind == ledger.Completion {
				messages = append(messages, entry.Messages)
			}
		}
	}
	// The ledgers of two engines have no common order.
	slices.Sort(messages)
	assert.DeepEqual(t, messages, []int{1, 3, 5})
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	encoded, err := json.Marshal(value)
	assert.NilError(t, err)
	return encoded
}
