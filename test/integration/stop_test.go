package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/ledger"
	"github.com/marblering/marblering/protocol/engineapi"
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
			s := newSystem(t, layout{zones: 3, engines: 2, timeScale: 1})
			opened := s.openStreams(t, 0, 6)
			engine := s.busiest(t)
			left := time.Now()
			c.leave(t, s, engine)
			s.awaitNoNewWork(t, engine)
			t.Logf("last new work %v after the first sign", s.lastTaken(t, engine).Sub(left).Round(time.Millisecond))
			opened.areWhole(t, s)
			s.staysQuiet(t, engine)
		})
	}
}

// quietRounds of calls must not reach an engine that has left. Both engines are
// idle by then, so that without the mark some of these calls would go there.
const quietRounds = 8

func (s *system) staysQuiet(t *testing.T, engine int) {
	t.Helper()
	before := s.taken(t, engine)
	for round := range quietRounds {
		s.callEveryNode(t, -round-1)
	}
	assert.Equal(t, s.taken(t, engine), before)
}

// awaitNoNewWork sends calls to every node until none of them has given one to
// the engine for three rounds.
func (s *system) awaitNoNewWork(t *testing.T, engine int) {
	t.Helper()
	quiet := 0
	round := 0
	harness.Eventually(t, func() (bool, string) {
		round++
		before := s.taken(t, engine)
		s.callEveryNode(t, round)
		if s.taken(t, engine) == before {
			quiet++
		} else {
			quiet = 0
		}
		return quiet == 3, fmt.Sprintf("engine %d still gets work in round %d", engine+1, round)
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

// busiest returns the engine that has taken on the most completions, at least
// one: an engine without streams would prove nothing.
func (s *system) busiest(t *testing.T) int {
	t.Helper()
	best := 0
	for engine := range s.engines {
		if s.taken(t, engine) > s.taken(t, best) {
			best = engine
		}
	}
	assert.Assert(t, s.taken(t, best) > 0, "no engine has a stream")
	return best
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

// callEveryNode has each node answer two short calls of new programs.
func (s *system) callEveryNode(t *testing.T, round int) {
	t.Helper()
	var group sync.WaitGroup
	for node := range s.nodes {
		for index := range 2 {
			program := s.createProgram(t, node, 100000)
			group.Go(func() {
				s.insist(patient(t), node, request{
					program: program, key: "only", maxTokens: 2, text: fmt.Sprintf("round %d, call %d", round, index),
				})
			})
		}
	}
	group.Wait()
}
