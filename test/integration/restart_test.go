package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
)

// TestEveryNodeRestartedOneAfterAnother replaces every node of a system without
// data folders while a conversation goes on. After the round nothing is left of
// the processes that took its first turns.
func TestEveryNodeRestartedOneAfterAnother(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		stop func(t *testing.T, node *serving)
	}{
		{"killed", func(_ *testing.T, node *serving) { node.Kill() }},
		{"stopped", func(t *testing.T, node *serving) {
			node.Terminate()
			assert.Equal(t, node.Wait(t), 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, layout{zones: 3, engines: 2})
			told := newConversation(s.createProgram(t, 0, 100000))
			turn := 0
			say := func(node int) {
				turn++
				told.say(t, s, node, request{key: fmt.Sprintf("turn-%d", turn), text: fmt.Sprintf("question %d", turn)})
			}
			say(0)
			for index := range s.nodes {
				c.stop(t, s.nodes[index])
				say((index + 1) % len(s.nodes))
				s.startNode(t, index)
				s.nodes[index].WaitHTTP(t, s.nodes[index].operators+"/readyz")
				say(index)
			}
			told.check(t, s)
			first := s.answered(t, 2, request{program: told.program, key: "turn-1", text: "question 1"})
			assert.Assert(t, first.whole)
			assert.Equal(t, len(s.attempts(t, told.program)), turn)
		})
	}
}

// TestLosingAMajorityOfAReplicaSetIsSaid kills two of three nodes at once: the
// third refuses, says that nothing was run, and never begins from empty.
func TestLosingAMajorityOfAReplicaSetIsSaid(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 1})
	told := newConversation(s.createProgram(t, 0, 100000))
	told.say(t, s, 0, request{key: "turn-1", text: "question 1"})
	s.nodes[1].Kill()
	s.nodes[2].Kill()
	harness.Eventually(t, func() (bool, string) {
		refused := call(t.Context(), s.nodes[0].callers, request{program: told.program, key: "turn-2", text: "question 2"})
		return refused.failure != nil && refused.failure.Execution == "not run", refused.String()
	})
	s.startNode(t, 1)
	s.startNode(t, 2)
	for _, key := range []string{"turn-3", "turn-4"} {
		refused := call(t.Context(), s.nodes[0].callers, request{program: told.program, key: key, text: "question"})
		assert.Assert(t, !refused.whole, "%s", refused)
	}
	assert.Equal(t, len(s.attempts(t, told.program)), 1)
}
