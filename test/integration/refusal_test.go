package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/test/integration/partition"
)

// TestNotRunIsTrueOfEarlierCopies has an engine run a call, loses its node, and
// asks with the same key at a node that reaches no other replica. That node
// can't know what became of the first copy, so it must not say that the call was
// not run: its caller would send it again under a new key.
func TestNotRunIsTrueOfEarlierCopies(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	r := s.onceCall(t)
	s.hangEngines(t)
	first := s.begin(t, 0, r)
	s.awaitTaken(t, r)
	s.nodes[0].Kill()
	assert.Assert(t, !(<-first).whole)
	assert.NilError(t, s.network.Isolate(s.nodes[1].name, partition.Fault{Kind: partition.Stall}))
	harness.Eventually(t, func() (bool, string) {
		known := call(patient(t), s.nodes[1].callers, r)
		if known.failure != nil {
			assert.Assert(t, known.failure.Execution != result.NotRun, "%s", known)
		}
		return known.failure != nil, known.String()
	})
	assert.NilError(t, s.network.Heal())
	s.healEngines(t)
	s.isUnknownForGood(t, []int{1, 2}, r, 1)
}

// TestDrainingNodeKnowsNothingOfEarlierCopies has a call answered at one node
// and asks with the same key at a node that stops. That node looks at no record,
// so it must not say that the call was not run.
func TestDrainingNodeKnowsNothingOfEarlierCopies(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2})
	r := s.onceCall(t)
	known := s.answered(t, 0, r)
	s.slowEngines(t, verySlow)
	held, _ := s.beginSlowly(t, 1, request{program: s.createProgram(t, 1, 100000), key: "held", text: "keeps the node from ending"})
	s.nodes[1].Terminate()
	harness.Eventually(t, func() (bool, string) {
		again := call(patient(t), s.nodes[1].callers, r)
		if again.failure != nil {
			assert.Assert(t, again.failure.Execution != result.NotRun, "%s", again)
		}
		return again.failure != nil, "the node doesn't drain"
	})
	s.slowEngines(t, 1)
	<-held
	again := s.answered(t, 2, r)
	assert.Equal(t, again.text, known.text)
	assert.Equal(t, s.runsOf(t, r.program, 1), 1)
}
