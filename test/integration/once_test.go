package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

// onceCall is a call that must not be repeated, with its own program.
func (s *system) onceCall(t *testing.T) request {
	t.Helper()
	return request{program: s.createProgram(t, 0, 100000), key: "once", text: "order one bag", once: true}
}

// awaitTaken waits until an engine has taken the call on.
func (s *system) awaitTaken(t *testing.T, r request) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		return s.runsOf(t, r.program, 1) == 1, "no engine has the call"
	})
}

// hangEngines makes every engine stop answers after the first chunk.
func (s *system) hangEngines(t *testing.T) {
	t.Helper()
	chunks := 1
	for _, stand := range s.engines {
		stand.setFaults(t, engine.Faults{HangAfterChunks: &chunks})
	}
}

func (s *system) healEngines(t *testing.T) {
	t.Helper()
	for _, stand := range s.engines {
		stand.setFaults(t, engine.Faults{})
	}
}

// isUnknownForGood makes sure that the outcome is told as unknown, the same at
// every node, whatever is asked again, and that nothing ran a second time.
func (s *system) isUnknownForGood(t *testing.T, nodes []int, r request, mostRuns int) {
	t.Helper()
	for range 2 {
		for _, node := range nodes {
			harness.Eventually(t, func() (bool, string) {
				known := call(patient(t), s.nodes[node].callers, r)
				return known.code() == result.OutcomeUnknown, known.String()
			})
		}
	}
	assert.Assert(t, s.runsOf(t, r.program, 1) <= mostRuns)
}

// TestNotRepeatableCallRunsAtMostOnce loses the node of a call that must not be
// repeated at several points.
func TestNotRepeatableCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	t.Run("node killed before the engine has it", func(t *testing.T) {
		t.Parallel()
		s := newSystem(t, layout{zones: 3, engines: 2})
		r := s.onceCall(t)
		// Whoever sends, the request is swallowed: a proxy that had to find out
		// the sender could learn of it only after the kill.
		for _, stand := range s.engines {
			stand.requests.SetFault(harness.Fault{Mode: harness.HalfOpen})
		}
		first := s.begin(t, 0, r)
		harness.Eventually(t, func() (bool, string) {
			return s.nextSequence(t, 1, r.program) == 2, "the call is not in the record"
		})
		s.nodes[0].Kill()
		assert.Assert(t, !(<-first).whole)
		// The fault stays: what the node sent last may still be on its way.
		s.isUnknownForGood(t, []int{1, 2}, r, 0)
	})
	t.Run("node killed while the engine answers", func(t *testing.T) {
		t.Parallel()
		s := newSystem(t, layout{zones: 3, engines: 2})
		r := s.onceCall(t)
		s.hangEngines(t)
		first := s.begin(t, 0, r)
		s.awaitTaken(t, r)
		s.nodes[0].Kill()
		assert.Assert(t, !(<-first).whole)
		s.healEngines(t)
		s.isUnknownForGood(t, []int{1, 2}, r, 1)
	})
	t.Run("node frozen while the engine answers, then woken", func(t *testing.T) {
		t.Parallel()
		s := newSystem(t, layout{zones: 3, engines: 2, flags: []string{"--engine-timeout", "3s"}})
		r := s.onceCall(t)
		s.hangEngines(t)
		first := s.begin(t, 0, r)
		s.awaitTaken(t, r)
		s.nodes[0].Pause(t)
		s.healEngines(t)
		s.isUnknownForGood(t, []int{1, 2}, r, 1)
		s.nodes[0].Resume()
		assert.Assert(t, !(<-first).whole)
		s.isUnknownForGood(t, []int{0, 1, 2}, r, 1)
	})
	t.Run("engine's answer lost", func(t *testing.T) {
		t.Parallel()
		s := newSystem(t, layout{zones: 3, engines: 2})
		r := s.onceCall(t)
		for _, stand := range s.engines {
			assert.NilError(t, stand.links.Set(partition.Fault{Kind: partition.DropAnswers}))
		}
		known := call(patient(t), s.nodes[0].callers, r)
		assert.Equal(t, known.code(), result.OutcomeUnknown, "%s", known)
		for _, stand := range s.engines {
			assert.NilError(t, stand.links.Heal())
		}
		s.isUnknownForGood(t, []int{0, 1, 2}, r, 1)
	})
	t.Run("same key at three nodes at once", func(t *testing.T) {
		t.Parallel()
		s := newSystem(t, layout{zones: 3, engines: 2})
		r := s.onceCall(t)
		told := newConversation(r.program)
		prompt := told.ask(t, 1, r.text)
		var outcomes []<-chan outcome
		for node := range s.nodes {
			outcomes = append(outcomes, s.begin(t, node, r), s.begin(t, node, r))
		}
		for _, each := range outcomes {
			known := <-each
			assert.Assert(t, known.whole, "%s", known)
			s.checkAnswer(t, prompt, known.text)
		}
		assert.Equal(t, s.runsOf(t, r.program, 1), 1)
	})
}
