package execution_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/state/result"
)

// outcome is what one caller was told.
type outcome struct {
	answer execution.Answer
	err    error
}

// freeze lets node-1 dispatch the call and hangs there until thaw is closed.
func freeze(t *testing.T, f *fleetOfExecutors, request execution.CallRequest) (frozen <-chan outcome, thaw chan<- struct{}) {
	t.Helper()
	hold := make(chan struct{})
	arrived := make(chan struct{})
	first := true
	f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
		if first {
			first = false
			close(arrived)
			<-hold
		}
		return nil
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
		done <- outcome{answer: answer, err: err}
	}()
	<-arrived
	return done, hold
}

func TestFrozenNodeWokenAfterTakeover(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	frozen, thaw := freeze(t, f, callOf(id, "key"))
	f.gone.Store("node-1", true)
	taken, err := f.nodes["node-2"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.NilError(t, err)
	assert.Equal(t, taken.Attempt, uint32(2))
	close(thaw)
	woken := <-frozen
	assert.NilError(t, woken.err)
	// The late answer of attempt 1 is refused by the record; its caller gets the
	// stored one.
	assert.Equal(t, woken.answer.Attempt, uint32(2))
	assert.Equal(t, woken.answer.Content, taken.Content)
	assert.Equal(t, f.tree(id).GetPrograms()[0].GetTurns(), uint64(1))
}

func TestFrozenNodeWithNotRepeatableCall(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	request := callOf(id, "key")
	request.Repeatable = false
	frozen, thaw := freeze(t, f, request)
	f.gone.Store("node-1", true)
	_, err := f.nodes["node-2"].Call(t.Context(), request, &textSink{})
	assert.Equal(t, codeOf(t, err), result.OutcomeUnknown)
	close(thaw)
	assert.Equal(t, codeOf(t, (<-frozen).err), result.OutcomeUnknown)
	assert.Equal(t, len(f.engines.seen()), 1)
}

func TestNextCallEndsALostOne(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	frozen, thaw := freeze(t, f, callOf(id, "lost"))
	f.gone.Store("node-1", true)
	next, err := f.nodes["node-2"].Call(t.Context(), callOf(id, "next"), &textSink{})
	assert.NilError(t, err)
	assert.Equal(t, next.Sequence, uint64(2))
	close(thaw)
	assert.Equal(t, codeOf(t, (<-frozen).err), result.EngineFailed)
	assert.Equal(t, f.tree(id).GetPrograms()[0].GetTurns(), uint64(1))
}

func TestCallBehindARunningOneWaitsOrIsRefused(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	running, thaw := freeze(t, f, callOf(id, "first"))
	late := callOf(id, "second")
	late.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err := f.nodes["node-2"].Call(t.Context(), late, &textSink{})
	assert.Equal(t, codeOf(t, err), result.CallInProgress)
	close(thaw)
	assert.NilError(t, (<-running).err)
	// It was told that it wasn't run: a late duplicate doesn't run either.
	_, err = f.nodes["node-1"].Call(t.Context(), late, &textSink{})
	assert.Equal(t, codeOf(t, err), result.CallInProgress)
	assert.Equal(t, len(f.engines.seen()), 1)
}

func TestEndedProgramStopsItsCall(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	running, thaw := freeze(t, f, callOf(id, "key"))
	view, err := f.nodes["node-2"].EndProgram(t.Context(), "tenant", id, "by test")
	assert.NilError(t, err)
	assert.Assert(t, view.Ended)
	close(thaw)
	assert.Equal(t, codeOf(t, (<-running).err), result.ProgramStopped)
	assert.NilError(t, f.nodes["node-2"].Drain(t.Context()))
	assert.Equal(t, len(f.tree(id).GetHolds()), 0)
	_, err = f.nodes["node-1"].Call(t.Context(), callOf(id, "after"), &textSink{})
	assert.Equal(t, codeOf(t, err), result.ProgramEnded)
}

// TestStoredAttemptIsNotLost lets node-2 read of an attempt before node-1, which
// stored it, has heard of that.
func TestStoredAttemptIsNotLost(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	request := callOf(id, "key")
	request.Repeatable = false
	asked := make(chan struct{})
	f.asked = sync.OnceFunc(func() { close(asked) })
	second := make(chan outcome, 1)
	var began atomic.Bool
	f.records.stored = func() {
		if !began.CompareAndSwap(false, true) {
			return
		}
		go func() {
			answer, err := f.nodes["node-2"].Call(t.Context(), request, &textSink{})
			second <- outcome{answer: answer, err: err}
		}()
		<-asked
	}
	first, err := f.nodes["node-1"].Call(t.Context(), request, &textSink{})
	assert.NilError(t, err)
	other := <-second
	assert.NilError(t, other.err)
	assert.Equal(t, other.answer.Content, first.Content)
	assert.Equal(t, len(f.engines.seen()), 1)
}

// TestTakeoverNeedsNoRetryBudget loses a node in a fleet of one engine: the
// engine has done nothing wrong, and the call adds nothing to its load.
func TestTakeoverNeedsNoRetryBudget(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	f.noRetries = true
	f.router.names = []string{"engine-1"}
	id := f.program(t, 10000)
	frozen, thaw := freeze(t, f, callOf(id, "key"))
	f.gone.Store("node-1", true)
	taken, err := f.nodes["node-2"].Call(t.Context(), callOf(id, "key"), &textSink{})
	assert.NilError(t, err)
	assert.Equal(t, taken.Engine, "engine-1")
	close(thaw)
	assert.NilError(t, (<-frozen).err)
}

// TestExecutorThatWasOnlySilentKeepsItsCall makes a node seem gone for the time
// of one look.
func TestExecutorThatWasOnlySilentKeepsItsCall(t *testing.T) {
	f := newFleetOfExecutors("node-1", "node-2")
	id := f.program(t, 10000)
	running, thaw := freeze(t, f, callOf(id, "first"))
	f.gone.Store("node-1", true)
	f.seenGone = sync.OnceFunc(func() { f.gone.Delete("node-1") })
	asked := make(chan struct{})
	f.asked = sync.OnceFunc(func() { close(asked) })
	next := make(chan outcome, 1)
	go func() {
		answer, err := f.nodes["node-2"].Call(t.Context(), callOf(id, "next"), &textSink{})
		next <- outcome{answer: answer, err: err}
	}()
	select {
	case <-asked:
	case <-next:
		t.Error("the next call did not wait for the first")
	}
	close(thaw)
	assert.NilError(t, (<-running).err)
	assert.NilError(t, (<-next).err)
	assert.Equal(t, f.tree(id).GetPrograms()[0].GetTurns(), uint64(2))
}
