package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/state/result"
)

// TestEngineKilledInTheMiddleOfAnswers kills an engine while it streams answers
// of several programs. The other engine would answer with other words: a caller
// may have to ask again with its key, but never gets the words of both.
func TestEngineKilledInTheMiddleOfAnswers(t *testing.T) {
	t.Parallel()
	const programs = 6
	s := newSystem(t, layout{zones: 3, engines: 2, timeScale: 1})
	s.earnRetries(t)
	s.slowEngines(t, 3)
	var conversations []*conversation
	var requests []request
	var outcomes []<-chan outcome
	var begun sync.WaitGroup
	for index := range programs {
		told := newConversation(s.createProgram(t, 0, 100000))
		r := request{program: told.program, key: "first", text: fmt.Sprintf("question of program %d", index)}
		streamed := r
		begun.Add(1)
		streamed.onText = onceDistinct(begun.Done)
		conversations = append(conversations, told)
		requests = append(requests, r)
		outcomes = append(outcomes, s.begin(t, index%len(s.nodes), streamed))
	}
	begun.Wait()
	serving := s.attempts(t, conversations[0].program)[0].engine
	s.engines[serving].kill(t)
	s.engines[1-serving].setFaults(t, engine.Faults{})
	cut, failed := 0, 0
	for index, told := range conversations {
		known := <-outcomes[index]
		if !known.whole {
			cut++
			known = s.insist(patient(t), (index+1)%len(s.nodes), requests[index])
		}
		if known.code() == result.EngineFailed {
			// No retry was left for it. That is final, and no answer.
			failed++
			told.ask(t, 1, requests[index].text)
		} else {
			told.answer(t, s, requests[index], known)
		}
		told.say(t, s, index%len(s.nodes), request{key: "second", text: "next question"})
		told.check(t, s)
	}
	t.Logf("of %d streams %d broke off and %d calls failed", programs, cut, failed)
	assert.Assert(t, cut > failed, "no call was answered after its stream had broken off")
}

// onceDistinct calls the function once a stream has come to where the answers of
// two engines to the same prompt differ.
func onceDistinct(reached func()) (onText func(string)) {
	text := ""
	once := sync.OnceFunc(reached)
	return func(piece string) {
		text += piece
		if strings.Contains(text, "] of") {
			once()
		}
	}
}

// earnRetries makes calls at every node until a retry of a later one is within
// the tenant's budget of them.
func (s *system) earnRetries(t *testing.T) {
	t.Helper()
	const calls = 40
	ctx := patient(t)
	var earning sync.WaitGroup
	for node := range s.nodes {
		for range calls {
			program := s.createProgram(t, node, 100000)
			earning.Go(func() {
				s.insist(ctx, node, request{program: program, key: "only", text: "short", maxTokens: 1})
			})
		}
	}
	earning.Wait()
}
