package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

// verySlow makes an answer last until the test lets it go on.
const verySlow = 1000

// slowEngines divides the speed of all engines.
func (s *system) slowEngines(t *testing.T, factor float64) {
	t.Helper()
	for _, stand := range s.engines {
		stand.setFaults(t, engine.Faults{SlowFactor: factor})
	}
}

// beginSlowly sends a request to a node with slow engines, until it is settled
// there, and waits until an engine has taken it on. It returns the attempt.
func (s *system) beginSlowly(t *testing.T, node int, r request) (known <-chan outcome, taken attempt) {
	t.Helper()
	before := len(s.attempts(t, r.program))
	ctx := patient(t)
	settled := make(chan outcome, 1)
	base := s.nodes[node].callers
	go func() { settled <- settleAt(ctx, base, r) }()
	harness.Eventually(t, func() (bool, string) {
		made := s.attempts(t, r.program)
		if len(made) > before {
			taken = newest(made)
		}
		return len(made) > before, "no engine has taken the call on"
	})
	return settled, taken
}

func newest(made []attempt) attempt {
	latest := made[0]
	for _, other := range made[1:] {
		if other.Time.After(latest.Time) {
			latest = other
		}
	}
	return latest
}

// awaitEnd waits until the engine has finished the attempt.
func (s *system) awaitEnd(t *testing.T, wanted attempt) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		for _, entry := range s.engines[wanted.engine].ledger(t) {
			if entry.Number == wanted.Number {
				return entry.Outcome != ledger.Running, "attempt " + entry.RequestID + " is still running"
			}
		}
		return false, "the attempt left the ledger"
	})
}

// retire drains the engine, so that the next attempt goes to another one, whose
// answer differs.
func (e *standIn) retire(t *testing.T) {
	t.Helper()
	control(t, e.address+"/v1/orders", engineapi.Order{Fence: 1, Action: engineapi.Drain})
}

// TestFrozenNodeWokenAfterTakeover freezes a node after it has dispatched a
// call. Another node takes the call over and answers it; then the first wakes up
// with an answer of its own in its hands.
func TestFrozenNodeWokenAfterTakeover(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, flags: quickFailure})
	told := newConversation(s.createProgram(t, 0, 100000))
	told.say(t, s, 0, request{key: "first", text: "first question"})

	s.slowEngines(t, verySlow)
	second := request{program: told.program, key: "second", text: "second question"}
	frozen, taken := s.beginSlowly(t, 2, second)
	s.nodes[2].Pause(t)
	s.engines[taken.engine].retire(t)
	s.slowEngines(t, 1)
	s.awaitEnd(t, taken)
	known := s.answered(t, 0, second)
	assert.Assert(t, known.attempt > 1, "%s", known)
	assert.Assert(t, known.engine != s.engines[taken.engine].name)
	told.answer(t, s, second, known)

	s.nodes[2].Resume()
	s.checkSame(t, <-frozen, known)
	told.say(t, s, 2, request{key: "third", text: "third question"})
	told.check(t, s)
}

// checkSame makes sure that a caller who asked elsewhere was told the same.
func (s *system) checkSame(t *testing.T, late, known outcome) {
	t.Helper()
	assert.Assert(t, late.whole, "%s", late)
	assert.Equal(t, late.text, known.text)
}

// TestAnswerAfterItsAttemptWasReplaced wakes the frozen node while the attempt
// that replaced its own is still running at the other engine.
func TestAnswerAfterItsAttemptWasReplaced(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, flags: quickFailure})
	told := newConversation(s.createProgram(t, 0, 100000))
	s.slowEngines(t, verySlow)
	first := request{program: told.program, key: "first", text: "first question"}
	frozen, taken := s.beginSlowly(t, 2, first)
	s.nodes[2].Pause(t)
	s.engines[taken.engine].retire(t)
	s.slowEngines(t, 1)
	s.awaitEnd(t, taken)
	s.slowEngines(t, verySlow)
	replaced, second := s.beginSlowly(t, 0, first)
	assert.Assert(t, second.engine != taken.engine)

	s.nodes[2].Resume()
	harness.Eventually(t, func() (bool, string) { return s.reads(t, 2, told.program), "the node isn't awake" })
	s.slowEngines(t, 1)
	known := <-replaced
	if !known.whole {
		known = s.answered(t, 0, first)
	}
	told.answer(t, s, first, known)
	s.checkSame(t, <-frozen, known)
	told.say(t, s, 1, request{key: "second", text: "second question"})
	told.check(t, s)
}

// TestHistorySurvivesReplicasThatComeAndGo takes a turn while one replica is cut
// off, and goes on after another replica was killed: the history must be found
// at the only one that has all of it.
func TestHistorySurvivesReplicasThatComeAndGo(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, flags: quickFailure})
	first := newConversation(s.createProgram(t, 0, 100000))
	second := newConversation(s.createProgram(t, 1, 100000))
	assert.NilError(t, s.nodes[2].links.Set(partition.Fault{Kind: partition.Stall}))
	first.say(t, s, 0, request{key: "first", text: "question of the first program"})
	second.say(t, s, 0, request{key: "first", text: "question of the second program"})
	s.nodes[0].Kill()
	assert.NilError(t, s.network.Heal())
	first.say(t, s, 1, request{key: "second", text: "next question of the first program"})
	second.say(t, s, 2, request{key: "second", text: "next question of the second program"})
	first.check(t, s)
	second.check(t, s)
}
