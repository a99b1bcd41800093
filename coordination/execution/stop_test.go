package execution_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/bubble"
)

// TestStoppingNodeLeavesItsCallToOthers guards against a call that ends as failed because
// its node stopped, and against one that runs twice though it must not.
func TestStoppingNodeLeavesItsCallToOthers(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		f := newFleetOfExecutors("node-1", "node-2")
		id := f.program(t, 10000)
		request := callOf(id, "key")
		request.Repeatable = repeatable
		ctx, stop := context.WithCancelCause(t.Context())
		f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
			if ctx.Err() != nil {
				return nil
			}
			stop(execution.ErrStopping)
			return &execution.EngineError{Dispatched: true, Cause: ctx.Err()}
		}
		_, err := f.nodes["node-1"].Call(ctx, request, &textSink{})
		checkCode(t, err, result.OutcomeUnresolved)
		assert.NilError(t, f.nodes["node-1"].Drain(t.Context()))

		taken, err := f.nodes["node-2"].Call(t.Context(), request, &textSink{})
		if !repeatable {
			checkCode(t, err, result.OutcomeUnknown)
			assert.Equal(t, len(f.engines.seen()), 1)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, taken.Attempt, uint32(2))
	}
}

// TestStoppingNodeNamesWhatItHasNotStored guards against an answer of an engine that is
// lost with its process and leaves no line, and a caller that waits for it.
func TestStoppingNodeNamesWhatItHasNotStored(t *testing.T) {
	bubble.Test(t, testStopWhileStoring)
}

func testStopWhileStoring(t *testing.T) {
	f := newFleetOfExecutors("node-1")
	core, logs := observer.New(zap.WarnLevel)
	node := f.nodes["node-1"]
	node.Logger = zap.New(core)
	id := f.program(t, 10000)
	ctx, stop := context.WithCancelCause(t.Context())
	f.engines.before = func(string, execution.EngineRequest, func(string) error) error {
		f.records.setFault(func(bool) error {
			stop(execution.ErrStopping)
			return register.ErrNoQuorum
		})
		return nil
	}
	began := time.Now()
	_, err := node.Call(ctx, callOf(id, "key"), &textSink{})
	checkCode(t, err, result.OutcomeUnresolved)
	assert.Equal(t, time.Since(began), time.Duration(0))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorContains(t, node.Drain(ended), "still being stored")
	lines := logs.FilterMessage("attempt not settled before the stop").All()
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].ContextMap()["program"], id)

	f.records.setFault(nil)
	assert.NilError(t, node.Drain(t.Context()))
	assert.Equal(t, f.tree(id).GetPrograms()[0].GetTurns(), uint64(1))
}
