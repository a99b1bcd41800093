package execution_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/result"
)

var errBroken = errors.New("connection broken")

// lostTokens is what a lost attempt of the test call is charged: 31 bytes of the
// message, 8 of the template and 64 tokens of answer.
const lostTokens = 31 + 8 + 64

func codeOf(t *testing.T, err error) result.Code {
	t.Helper()
	var told *result.Error
	assert.Assert(t, errors.As(err, &told), "not a result: %v", err)
	return told.Code
}

func TestTurnsSeeTheWholeChainAtAnyNode(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2", "node-3")
	id := f.program(t, 10000)
	for turn := range 3 {
		sink := &textSink{}
		answer, err := f.nodes[fmt.Sprintf("node-%d", turn+1)].Call(t.Context(), callOf(id, fmt.Sprintf("key-%d", turn)), sink)
		assert.NilError(t, err)
		assert.Equal(t, answer.Sequence, uint64(turn+1))
		assert.Equal(t, sink.text.String(), answer.Content)
	}
	assert.DeepEqual(t, f.engines.chains, []int{1, 3, 5})
	assert.Equal(t, f.tree(id).GetBudget().GetSpent(), uint64(45))
	assert.Equal(t, f.tree(id).GetBudget().GetReserved(), uint64(0))
}

func TestRepeatedKeyReplaysTheStoredAnswer(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	var first execution.Answer
	// More calls than the record's window keeps, so that the oldest key is
	// found in the history.
	for turn := range 9 {
		answer, err := f.nodes["node-1"].Call(t.Context(), callOf(id, fmt.Sprintf("key-%d", turn)), &textSink{})
		assert.NilError(t, err)
		if turn == 0 {
			first = answer
		}
	}
	for _, node := range []string{"node-1", "node-2"} {
		sink := &textSink{}
		answer, err := f.nodes[node].Call(t.Context(), callOf(id, "key-0"), sink)
		assert.NilError(t, err)
		assert.Equal(t, answer.Content, first.Content)
		assert.Equal(t, sink.text.String(), first.Content)
		assert.Assert(t, answer.Replayed)
	}
	assert.Equal(t, len(f.engines.seen()), 9)
	changed := callOf(id, "key-0")
	changed.MaxTokens = 7
	_, err := f.nodes["node-2"].Call(t.Context(), changed, &textSink{})
	assert.Equal(t, codeOf(t, err), result.KeyConflict)
}

func TestSameKeyAtTwoNodesAtOnceRunsOnce(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	release := make(chan struct{})
	arrived := make(chan struct{}, 4)
	f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
		arrived <- struct{}{}
		<-release
		return nil
	}
	var group sync.WaitGroup
	contents := make([]string, 4)
	for index := range contents {
		group.Add(1)
		go func() {
			defer group.Done()
			answer, err := f.nodes[fmt.Sprintf("node-%d", index%2+1)].Call(t.Context(), callOf(id, "key"), &textSink{})
			if err == nil {
				contents[index] = answer.Content
			}
		}()
	}
	<-arrived
	close(release)
	group.Wait()
	assert.Equal(t, len(f.engines.seen()), 1)
	for _, content := range contents {
		assert.Assert(t, content != "")
		assert.Equal(t, content, contents[0])
	}
}

func TestFailedAttempts(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		dispatched bool
		failures   int
		requests   int
		code       result.Code
		spent      uint64
	}{
		{"repeatable, lost once", true, true, 1, 2, result.OK, lostTokens + 15},
		{"repeatable, lost each time", true, true, 9, 3, result.EngineFailed, 3 * lostTokens},
		{"repeatable, never taken", true, false, 2, 3, result.OK, 15},
		{"not repeatable, lost", false, true, 1, 1, result.OutcomeUnknown, lostTokens},
		{"not repeatable, never taken", false, false, 2, 3, result.OK, 15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetOfExecutors("node-1", "node-2")
			id := f.program(t, 10000)
			failures := 0
			f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
				failures++
				if failures > c.failures {
					return nil
				}
				return &execution.EngineError{Dispatched: c.dispatched, Cause: errBroken}
			}
			request := callOf(id, "key")
			request.Repeatable = c.repeatable
			request.MaxTokens = 64
			_, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
			checkCode(t, err, c.code)
			assert.Equal(t, len(f.engines.seen()), c.requests)
			// The final answer is the same at every node, and nothing runs again.
			_, err = f.nodes["node-2"].Call(t.Context(), request, &textSink{})
			checkCode(t, err, c.code)
			assert.Equal(t, len(f.engines.seen()), c.requests)
			assert.Equal(t, f.tree(id).GetBudget().GetSpent(), c.spent)
			assert.Equal(t, f.tree(id).GetBudget().GetReserved(), uint64(0))
		})
	}
}

func checkCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	if code == result.OK {
		assert.NilError(t, err)
		return
	}
	assert.Equal(t, codeOf(t, err), code)
}

func TestSecondAttemptNeverMixesTexts(t *testing.T) {
	f := newFleetOfExecutors("node-1")
	id := f.program(t, 10000)
	failed := false
	f.engines.before = func(_ string, _ execution.EngineRequest, onText func(string) error) error {
		if failed {
			return nil
		}
		failed = true
		_ = onText("something else")
		return &execution.EngineError{Dispatched: true, Cause: errBroken}
	}
	sink := &textSink{}
	_, err := f.nodes["node-1"].Call(t.Context(), callOf(id, "key"), sink)
	assert.Equal(t, codeOf(t, err), result.OutcomeUnresolved)
	assert.Equal(t, sink.text.String(), "something else")
	again := &textSink{}
	answer, err := f.nodes["node-1"].Call(t.Context(), callOf(id, "key"), again)
	assert.NilError(t, err)
	assert.Equal(t, again.text.String(), answer.Content)
	assert.Equal(t, len(f.engines.seen()), 2)
}

// TestEarlierAttemptThatRanIsNotForgotten breaks the first attempt off at its
// engine and has the other engines refuse the call before they run it.
func TestEarlierAttemptThatRanIsNotForgotten(t *testing.T) {
	f := newFleetOfExecutors("node-1")
	id := f.program(t, 10000)
	first := true
	f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
		dispatched := first
		first = false
		return &execution.EngineError{Dispatched: dispatched, Cause: errBroken}
	}
	for range 2 {
		_, err := f.nodes["node-1"].Call(t.Context(), callOf(id, "key"), &textSink{})
		assert.Equal(t, codeOf(t, err).Info().Execution, result.Run, "%v", err)
	}
	assert.Equal(t, len(f.engines.seen()), 3)
}

// TestHistoryLostAfterAnAttemptRan takes a call over whose first attempt ran,
// and finds too few replicas of its history.
func TestHistoryLostAfterAnAttemptRan(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	frozen, thaw := freeze(t, f, callOf(id, "key"))
	f.gone.Store("node-1", true)
	f.turns.fault = errBroken
	_, err := f.nodes["node-2"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.Equal(t, codeOf(t, err).Info().Execution, result.Run, "%v", err)
	f.turns.fault = nil
	close(thaw)
	assert.Equal(t, codeOf(t, (<-frozen).err).Info().Execution, result.Run)
}

func TestNoQuorumIsNotRun(t *testing.T) {
	f := newFleetOfExecutors("node-1")
	id := f.program(t, 10000)
	f.records.fault = func(applied bool) error {
		if !applied {
			return register.ErrNoQuorum
		}
		return nil
	}
	_, err := f.nodes["node-1"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.Equal(t, codeOf(t, err), result.NoQuorum)
	assert.Equal(t, len(f.engines.seen()), 0)
}

func TestUnknownOutcomeOfAdmissionIsFoundOutByTheSameKey(t *testing.T) {
	f := newFleetOfExecutors("node-1")
	id := f.program(t, 10000)
	lost := false
	f.records.fault = func(applied bool) error {
		if applied && !lost {
			lost = true
			return register.ErrUnknownOutcome
		}
		return nil
	}
	request := callOf(id, "key")
	request.Repeatable = false
	_, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
	assert.Equal(t, codeOf(t, err), result.OutcomeUnresolved)
	answer, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
	assert.NilError(t, err)
	assert.Assert(t, answer.Content != "")
	assert.Equal(t, len(f.engines.seen()), 1)
}

func TestTenantLimitIsRecordedBeforeItIsTold(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	f.pause = 3 * time.Second
	_, err := f.nodes["node-1"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.Equal(t, codeOf(t, err), result.TenantLimit)
	var told *result.Error
	assert.Assert(t, errors.As(err, &told))
	assert.Equal(t, told.RetryAfter, 3*time.Second)
	// A late duplicate doesn't run although there is room now.
	f.pause = 0
	_, err = f.nodes["node-2"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.Equal(t, codeOf(t, err), result.TenantLimit)
	assert.Equal(t, len(f.engines.seen()), 0)
}

func TestAttemptWhoseFailureIsNotRecordedIsNeverBegunAgain(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
		f.records.setFault(func(bool) error { return register.ErrNoQuorum })
		return &execution.EngineError{Dispatched: true, Cause: errBroken}
	}
	request := callOf(id, "key")
	request.Repeatable = false
	_, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
	assert.Equal(t, codeOf(t, err), result.OutcomeUnresolved)
	f.records.setFault(nil)
	f.engines.before = nil
	for _, node := range []string{"node-1", "node-2"} {
		_, err := f.nodes[node].Call(t.Context(), request, &textSink{})
		assert.Equal(t, codeOf(t, err), result.OutcomeUnknown)
	}
	assert.Equal(t, len(f.engines.seen()), 1)
}
