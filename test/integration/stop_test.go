package integration

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/harness"
)

// streams is a set of calls under way, each of another program.
type streams struct {
	conversations []*conversation
	requests      []request
	outcomes      []<-chan outcome
}

// openStreams begins calls at the node and waits until each has sent text.
func (s *system) openStreams(t *testing.T, node, count int) *streams {
	t.Helper()
	opened := &streams{}
	var begun sync.WaitGroup
	for index := range count {
		told := newConversation(s.createProgram(t, node, 100000))
		begun.Add(1)
		var once sync.Once
		asked := request{
			program: told.program, key: "only", text: fmt.Sprintf("question of program %d", index),
			onText: func(string) { once.Do(begun.Done) },
		}
		opened.conversations = append(opened.conversations, told)
		opened.requests = append(opened.requests, asked)
		opened.outcomes = append(opened.outcomes, s.begin(t, node, asked))
	}
	begun.Wait()
	return opened
}

// areWhole makes sure that every stream ended as a whole answer at its first
// try.
func (o *streams) areWhole(t *testing.T, s *system) {
	t.Helper()
	for index, outcomes := range o.outcomes {
		o.conversations[index].answer(t, s, o.requests[index], <-outcomes)
	}
}

// TestPlannedStopOfANodeCutsNoStream stops a node while it streams answers.
func TestPlannedStopOfANodeCutsNoStream(t *testing.T) {
	t.Parallel()
	s := newSystem(t, layout{zones: 3, engines: 2, timeScale: 1})
	opened := s.openStreams(t, 0, 6)
	s.nodes[0].Terminate()
	// The other nodes take what comes next.
	next := newConversation(s.createProgram(t, 1, 100000))
	next.say(t, s, 1, request{key: "turn-1", text: "while the node stops"})
	opened.areWhole(t, s)
	assert.Equal(t, s.nodes[0].Wait(t), 0)
	for index, told := range opened.conversations {
		again := s.answered(t, 2, opened.requests[index])
		assert.Assert(t, again.whole)
		told.check(t, s)
	}
}

// TestLeavingEngineEndsItsStreamsAndGetsNoNewWork drains an engine in three
// ways while it streams: by its own word, by the configuration and by the
// platform's list of machines.
func TestLeavingEngineEndsItsStreamsAndGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(t *testing.T, s *system, engine int)
	}{
		{"own word", func(t *testing.T, s *system, engine int) {
			control(t, s.engines[engine].address+"/v1/orders", engineapi.Order{Fence: 1000, Action: engineapi.Drain})
		}},
		{"configuration", func(t *testing.T, s *system, engine int) {
			object := s.engineObject(engine)
			object.Draining = true
			s.replace(t, configuration.KindEngine, s.engines[engine].name, object)
		}},
		{"machine list", func(t *testing.T, s *system, engine int) {
			s.putMachine(t, s.engines[engine].name, "leaving")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// The only engine: without the mark every call would go there.
			s := newSystem(t, layout{zones: 3, engines: 1, timeScale: 1})
			opened := s.openStreams(t, 0, 6)
			left := time.Now()
			c.leave(t, s, 0)
			s.awaitNoNewWork(t)
			t.Logf("last new work %v after the first sign", s.lastTaken(t, 0).Sub(left).Round(time.Millisecond))
			opened.areWhole(t, s)
			before := s.taken(t, 0)
			assert.Assert(t, s.everyNodeRefuses(t))
			assert.Equal(t, s.taken(t, 0), before)
		})
	}
}

// awaitNoNewWork sends calls to every node until all of them are refused.
func (s *system) awaitNoNewWork(t *testing.T) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		return s.everyNodeRefuses(t), "a node still gives work to the engine"
	})
}

// taken counts the completions that the engine took on.
func (s *system) taken(t *testing.T, engine int) int {
	t.Helper()
	count := 0
	for _, entry := range s.engines[engine].ledger(t) {
		if entry.Kind == ledger.Completion && entry.Outcome != ledger.Refused {
			count++
		}
	}
	return count
}

// lastTaken is when the engine last took on a completion.
func (s *system) lastTaken(t *testing.T, engine int) time.Time {
	t.Helper()
	var last time.Time
	for _, entry := range s.engines[engine].ledger(t) {
		if entry.Kind == ledger.Completion && entry.Outcome != ledger.Refused && entry.Time.After(last) {
			last = entry.Time
		}
	}
	return last
}

// everyNodeRefuses sends two short calls of new programs to each node and
// reports whether all were refused for want of an engine.
func (s *system) everyNodeRefuses(t *testing.T) bool {
	t.Helper()
	var group sync.WaitGroup
	var answered atomic.Int32
	for node := range s.nodes {
		for index := range 2 {
			program := s.createProgram(t, node, 100000)
			group.Go(func() {
				known := call(patient(t), s.nodes[node].callers, request{
					program: program, key: "only", maxTokens: 2, text: fmt.Sprintf("call %d", index),
				})
				if known.code() != result.NoEngine {
					answered.Add(1)
				}
			})
		}
	}
	group.Wait()
	return answered.Load() == 0
}
