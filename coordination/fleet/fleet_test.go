package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/admission"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/routing"
	"github.com/marblering/marblering/state/result"
)

type failingReporter struct{}

func (failingReporter) Leaving(context.Context, string) (bool, error) {
	return false, errors.New("no report")
}

func (failingReporter) Load(context.Context, string) (fleet.Load, error) {
	return fleet.Load{}, errors.New("no report")
}

// fakeAdmitter admits every call except on the engines in full.
type fakeAdmitter struct{ full map[string]bool }

func (o fakeAdmitter) Admit(_ context.Context, engine, _ string, _, _ uint64, _ time.Time) (bool, time.Duration) {
	return !o.full[engine], 5 * time.Second
}
func (fakeAdmitter) Release(string, string)                 {}
func (fakeAdmitter) SetCapacity(string, admission.Capacity) {}

func newFleet(leaving func(string, bool)) *fleet.Fleet {
	now := time.Unix(1000, 0)
	f := fleet.New(fleet.Options{
		Zone: "zone-1", Reporter: failingReporter{}, Admitter: fakeAdmitter{map[string]bool{}}, Weights: routing.LatencyWeights,
		Now: func() time.Time { return now }, Random: rand.New(rand.NewPCG(1, 2)), Logger: zap.NewNop(),
		PollInterval: time.Second, Owns: func(string) bool { return true }, OnLeaving: leaving,
	})
	var engines []fleet.Engine
	for index := range 3 {
		engines = append(engines, fleet.Engine{
			Name: fmt.Sprintf("engine-%d", index), Address: fmt.Sprintf("http://127.0.0.1:%d", index),
			Zone: "zone-1", Models: []string{"model"},
		})
	}
	f.SetEngines(engines)
	return f
}

var call = execution.Query{Program: "p-1", Model: "model", NewTokens: 100, OutputTokens: 10}

func TestLeavingEngineGetsNoWork(t *testing.T) {
	f := newFleet(nil)
	f.MarkLeaving("engine-0", true)
	f.MarkLeaving("engine-2", true)
	for range 20 {
		choice, err := f.Choose(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, choice.Engine, "engine-1")
	}
	f.MarkLeaving("engine-1", true)
	_, err := f.Choose(t.Context(), call)
	var refusal *result.Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestLeavingReportExcludesEngine(t *testing.T) {
	var reported []string
	f := newFleet(func(engine string, leaving bool) { reported = append(reported, fmt.Sprint(engine, leaving)) })
	choice, err := f.Choose(t.Context(), call)
	assert.NilError(t, err)
	choice.Release(execution.AttemptReport{
		Program: "p-1", Leaving: true, Err: &execution.EngineError{Leaving: true, Cause: errors.New("503")},
	})
	assert.DeepEqual(t, reported, []string{choice.Engine + "true"})
	for range 20 {
		next, err := f.Choose(t.Context(), call)
		assert.NilError(t, err)
		assert.Assert(t, next.Engine != choice.Engine)
	}
}

func TestConcurrentCallsSpread(t *testing.T) {
	f := newFleet(nil)
	used := map[string]int{}
	for index := range 30 {
		query := call
		query.Program = fmt.Sprintf("p-%d", index)
		choice, err := f.Choose(t.Context(), query)
		assert.NilError(t, err)
		used[choice.Engine]++
	}
	for index := range 3 {
		assert.Assert(t, used[fmt.Sprintf("engine-%d", index)] >= 5, "%v", used)
	}
}

func TestNextTurnUsesEngineWithCachedContext(t *testing.T) {
	f := newFleet(nil)
	choice, err := f.Choose(t.Context(), call)
	assert.NilError(t, err)
	choice.Release(execution.AttemptReport{Program: "p-1", Usage: execution.Usage{PromptTokens: 5000, OutputTokens: 10}})
	next := call
	next.HistoryTokens = 5010
	for range 5 {
		again, err := f.Choose(t.Context(), next)
		assert.NilError(t, err)
		assert.Equal(t, again.Engine, choice.Engine)
		again.Release(execution.AttemptReport{Program: "p-1", Err: context.Canceled})
	}
	// A node that has not routed the program uses the holds of its record.
	other := newFleet(nil)
	next.HeldBy = []string{choice.Engine}
	again, err := other.Choose(t.Context(), next)
	assert.NilError(t, err)
	assert.Equal(t, again.Engine, choice.Engine)
	assert.Equal(t, len(other.Explain("p-1")), 1)
}

func TestRemovedEngineIsForgotten(t *testing.T) {
	f := newFleet(nil)
	f.SetEngines(nil)
	_, err := f.Choose(t.Context(), call)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.Engines()), 0)
}

func TestFullEngineIsSkipped(t *testing.T) {
	f := newFleet(nil)
	full := map[string]bool{"engine-0": true, "engine-1": true}
	f.Admitter = fakeAdmitter{full}
	for range 10 {
		choice, err := f.Choose(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, choice.Engine, "engine-2")
	}
	full["engine-2"] = true
	_, err := f.Choose(t.Context(), call)
	var refusal *result.Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, result.Overloaded)
	assert.Equal(t, refusal.RetryAfter, 5*time.Second)
}

// notLeavingReporter reports that the engine is not leaving.
type notLeavingReporter struct{ failingReporter }

func (notLeavingReporter) Leaving(context.Context, string) (bool, error) { return false, nil }

func TestSelfReportDoesNotOverrideMembership(t *testing.T) {
	f := newFleet(nil)
	f.Reporter = notLeavingReporter{}
	f.PollInterval = time.Millisecond
	f.MarkLeaving("engine-0", true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, f.Serve(ctx), context.DeadlineExceeded)
	for _, engine := range f.Engines() {
		assert.Equal(t, engine.Leaving, engine.Name == "engine-0")
	}
}

// ejectEngine fails calls on the engine with refused connections until it is no
// longer chosen, up to a fixed number of calls.
func ejectEngine(t *testing.T, f *fleet.Fleet, engine string, others []string) {
	t.Helper()
	const calls = 40
	for range calls {
		query := call
		query.Excluded = others
		choice, err := f.Choose(t.Context(), query)
		if err != nil || choice.Engine != engine {
			return
		}
		choice.Release(execution.AttemptReport{
			Program: query.Program, Err: &execution.EngineError{Cause: errors.New("connection refused")},
		})
	}
}

// TestEjectedEngineIsUsedAsFallback checks that a call that failed on the last
// engine that isn't ejected is routed to the ejected one.
func TestEjectedEngineIsUsedAsFallback(t *testing.T) {
	f := newFleet(nil)
	f.SetEngines([]fleet.Engine{
		{Name: "slow", Address: "http://127.0.0.1:1", Zone: "zone-1", Models: []string{"model"}},
		{Name: "killed", Address: "http://127.0.0.1:2", Zone: "zone-1", Models: []string{"model"}},
	})
	served := call
	served.Excluded = []string{"slow"}
	known, err := f.Choose(t.Context(), served)
	assert.NilError(t, err)
	known.Release(execution.AttemptReport{Program: call.Program, Total: time.Millisecond})
	ejectEngine(t, f, "slow", []string{"killed"})
	for range 20 {
		choice, err := f.Choose(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, choice.Engine, "killed")
	}
	again := call
	again.Excluded = []string{"killed"}
	choice, err := f.Choose(t.Context(), again)
	assert.NilError(t, err)
	assert.Equal(t, choice.Engine, "slow")
}
