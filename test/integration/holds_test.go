package integration

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

// holders lists the engines that hold memory for the program.
func (s *system) holders(t *testing.T, program string) []string {
	t.Helper()
	var names []string
	for _, stand := range s.engines {
		if slices.Contains(stand.holds(t), program) {
			names = append(names, stand.name)
		}
	}
	return names
}

// heldSomewhere makes sure that an engine holds the program, so that a later
// check that none does can fail.
func (s *system) heldSomewhere(t *testing.T, program string) {
	t.Helper()
	assert.Assert(t, len(s.holders(t, program)) > 0, "no engine holds %s", program)
}

func (s *system) awaitReleased(t *testing.T, program string) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		holders := s.holders(t, program)
		return len(holders) == 0, fmt.Sprintf("%v hold %s", holders, program)
	})
}

// TestEndedProgramsLeaveNoMemoryHeld ends programs while what has to release
// them is out of reach.
func TestEndedProgramsLeaveNoMemoryHeld(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	begin := func() *conversation {
		told := newConversation(s.createProgram(t, 0, 100000))
		told.say(t, s, 0, request{key: "turn-1", text: "question"})
		s.heldSomewhere(t, told.program)
		return told
	}
	t.Run("ended while its engine is cut off", func(t *testing.T) {
		told := begin()
		for _, stand := range s.engines {
			assert.NilError(t, stand.links.Set(partition.Fault{Kind: partition.Cut}))
		}
		s.end(t, 1, told.program)
		s.heldSomewhere(t, told.program)
		for _, stand := range s.engines {
			assert.NilError(t, stand.links.Heal())
		}
		s.awaitReleased(t, told.program)
	})
	t.Run("ended by its idle limit", func(t *testing.T) {
		program := s.create(t, 0, "/v1/programs", map[string]any{
			"model": modelName, "budget_tokens": 100000, "idle_limit_ms": 1500,
		})
		told := newConversation(program)
		told.say(t, s, 0, request{key: "turn-1", text: "question"})
		s.heldSomewhere(t, program)
		s.awaitReleased(t, program)
		refused := call(patient(t), s.nodes[1].callers, request{program: program, key: "turn-2", text: "too late"})
		assert.Assert(t, !refused.whole)
	})
	t.Run("its node frozen at the dispatch, woken after the end", func(t *testing.T) {
		told := begin()
		s.hangEngines(t)
		late := s.begin(t, 0, request{program: told.program, key: "turn-2", text: "late"})
		harness.Eventually(t, func() (bool, string) {
			return s.runsOf(t, told.program, 2) == 1, "no engine has the call"
		})
		s.nodes[0].Pause(t)
		s.healEngines(t)
		s.end(t, 1, told.program)
		s.awaitReleased(t, told.program)
		s.nodes[0].Resume()
		assert.Assert(t, !(<-late).whole)
		s.awaitReleased(t, told.program)
	})
	t.Run("its node killed at the end", func(t *testing.T) {
		told := begin()
		for _, stand := range s.engines {
			assert.NilError(t, stand.links.SetFor(s.nodes[0].name, partition.Fault{Kind: partition.HalfOpen}))
		}
		s.end(t, 0, told.program)
		s.nodes[0].Kill()
		s.awaitReleased(t, told.program)
	})
}
