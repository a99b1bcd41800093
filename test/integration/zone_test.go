package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
)

// TestZoneCutOffWithTheNodeOfAConversation cuts the zone off whose node has
// served a conversation so far. The conversation goes on elsewhere; the cut node
// refuses and says so; after the healing it serves the whole history.
func TestZoneCutOffWithTheNodeOfAConversation(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	told := newConversation(s.createProgram(t, 0, 100000))
	told.say(t, s, 0, request{key: "turn-1", text: "before the cut"})
	s.cutOff(t, 0)
	told.say(t, s, 1, request{key: "turn-2", text: "during the cut"})
	harness.Eventually(t, func() (bool, string) {
		refused := call(patient(t), s.nodes[0].callers, request{program: told.program, text: "at the cut node"})
		return refused.code() == result.NoQuorum, refused.String()
	})
	told.say(t, s, 2, request{key: "turn-3", text: "still during the cut"})
	s.healPeers(t)
	s.nodes[0].platform.Heal()
	told.say(t, s, 0, request{key: "turn-4", text: "after the cut"})
	told.check(t, s)
	assert.Equal(t, len(s.attempts(t, told.program)), 4)
}
