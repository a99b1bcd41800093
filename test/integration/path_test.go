package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestThreeTurnsThroughThreeNodes sends three dependent turns, each to another
// node. The caller sends its new message only; the engines see the whole chain.
func TestThreeTurnsThroughThreeNodes(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	told := newConversation(s.createProgram(t, 0, 100000))
	for turn, text := range []string{"first question", "second question", "third question"} {
		told.say(t, s, turn, request{key: fmt.Sprintf("turn-%d", turn), text: text})
	}
	told.check(t, s)
	assert.Equal(t, len(s.attempts(t, told.program)), 3)
}
