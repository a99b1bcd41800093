package register_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/marblering/marblering/coordination/register"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and the number of the property tests' runs, which the command
// line may override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

type operationKind int

const (
	kindRead operationKind = iota
	// kindAppend appends the operation's tag to the register.
	kindAppend
	// kindCompareAndAppend does so if the register has the expected length.
	kindCompareAndAppend
	// kindExpiring appends on the first call and refuses later ones, like a change with a
	// deadline.
	kindExpiring
	kindCount
)

// operation is one change of the simulated register, whose value is the tags of all
// applied changes in order.
type operation struct {
	kind     operationKind
	tag      string
	expected int
	calls    int
}

// observed is the result that an operation's caller received.
type observed struct {
	outcome register.Outcome
	value   string
}

// simulationSteps is the number of events in one simulation.
const simulationSteps = 600

var (
	errLength  = errors.New("the register has another length")
	errExpired = errors.New("too late")
)

func (sim *simulation) newOperation() *operation {
	sim.created++
	return &operation{
		kind:     operationKind(sim.pick(int(kindCount))),
		tag:      fmt.Sprintf("%03d.", sim.created),
		expected: 4 * sim.pick(6),
	}
}

// change recognises its own earlier effect, as the package requires of a Change.
func (o *operation) change(current []byte) ([]byte, error) {
	o.calls++
	if o.kind == kindExpiring && o.calls > 1 && !strings.Contains(string(current), o.tag) {
		return nil, errExpired
	}
	next, err := o.apply(string(current))
	return []byte(next), err
}

func (o *operation) apply(current string) (string, error) {
	switch {
	case o.kind == kindRead || strings.Contains(current, o.tag):
		return current, nil
	case o.kind == kindCompareAndAppend && len(current) != o.expected:
		return "", errLength
	}
	return current + o.tag, nil
}

// registerModel is the sequential specification. An operation of unknown outcome returns
// at the end of time, where it has no effect on any other.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, op, result := state.(string), input.(operation), output.(observed)
		next, err := op.apply(value)
		switch {
		case result.outcome == register.OutcomeUnknown && err != nil:
			return true, value
		case result.outcome == register.OutcomeUnknown:
			return true, next
		case result.outcome == register.OutcomeRefused:
			refusable := err != nil || op.kind == kindExpiring
			return refusable && result.value == value && !strings.Contains(value, op.tag), value
		case op.kind == kindRead:
			return result.value == value, value
		}
		return err == nil && !strings.Contains(value, op.tag), next
	},
}

// TestLinearizable checks that results are linearizable under faults of the network and
// restarts of replicas, and changes of the replica set.
func TestLinearizable(t *testing.T) {
	var outcomes [4]int
	epochChanges := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range simulationSteps {
			sim.step()
		}
		for _, p := range sim.processes {
			sim.abandon(p)
		}
		epochChanges += sim.newest
		for _, entry := range sim.history {
			outcomes[entry.Output.(observed).outcome]++
		}
		if !porcupine.CheckOperations(registerModel, withoutUnobserved(sim.history)) {
			t.Fatalf("not linearizable:\n%s", formatHistory(sim.history))
		}
	})
	t.Logf("replica sets changed %d, unknown %d, applied %d, refused %d", epochChanges,
		outcomes[register.OutcomeUnknown], outcomes[register.OutcomeApplied], outcomes[register.OutcomeRefused])
	assert.Assert(t, epochChanges > 0)
	assert.Assert(t, outcomes[register.OutcomeUnknown] > 0)
	assert.Assert(t, outcomes[register.OutcomeApplied] > outcomes[register.OutcomeUnknown])
	assert.Assert(t, outcomes[register.OutcomeRefused] > 0)
}

// withoutUnobserved removes the changes of unknown outcome whose effect nobody saw: they
// can take effect at the end of time in any order, which only slows the checker down.
func withoutUnobserved(history []porcupine.Operation) []porcupine.Operation {
	var seen strings.Builder
	for _, entry := range history {
		seen.WriteString(entry.Output.(observed).value)
	}
	return slices.DeleteFunc(slices.Clone(history), func(entry porcupine.Operation) bool {
		op := entry.Input.(operation)
		return entry.Output.(observed).outcome == register.OutcomeUnknown &&
			(op.kind == kindRead || !strings.Contains(seen.String(), op.tag))
	})
}

func formatHistory(history []porcupine.Operation) string {
	var text strings.Builder
	for _, entry := range history {
		fmt.Fprintf(&text, "[%d, %d] %+v: %+v\n", entry.Call, entry.Return, entry.Input, entry.Output)
	}
	return text.String()
}
