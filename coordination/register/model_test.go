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

// TestMain fixes the seed and the size of the property tests, which the command
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
	// kindAppend adds the operation's tag to the register.
	kindAppend
	// kindCompareAndAppend does so if the register has the expected length.
	kindCompareAndAppend
	// kindExpiring appends when it is called first and refuses later, as a
	// change with a deadline does.
	kindExpiring
	kindCount
)

// operation is one change of the simulated register, which holds the tags of
// the changes applied to it in their order.
type operation struct {
	kind     operationKind
	tag      string
	expected int
	calls    int
}

// observed is what an operation's caller was told.
type observed struct {
	outcome register.Outcome
	value   string
}

// worldSteps is the number of events of one world.
const worldSteps = 600

var (
	errLength  = errors.New("the register has another length")
	errExpired = errors.New("too late")
)

func (w *world) newOperation() *operation {
	w.created++
	return &operation{
		kind:     operationKind(w.pick(int(kindCount))),
		tag:      fmt.Sprintf("%03d.", w.created),
		expected: 4 * w.pick(6),
	}
}

// change recognises its own earlier effect, as the package asks of a Change.
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

// registerModel is the sequential specification. An operation of unknown outcome
// returns at the end of time: standing there it may as well never have run.
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

// TestLinearizable drives proposers and replicas through message loss,
// duplication and reordering, pauses, restarts with and without memory and
// changes of the replica set, and checks what the callers were told.
func TestLinearizable(t *testing.T) {
	var told [4]int
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range worldSteps {
			w.step()
		}
		for _, s := range w.slots {
			w.giveUp(s)
		}
		changed += w.newest
		for _, entry := range w.history {
			told[entry.Output.(observed).outcome]++
		}
		if !porcupine.CheckOperations(registerModel, withoutUnseen(w.history)) {
			t.Fatalf("not linearizable:\n%s", describe(w.history))
		}
	})
	t.Logf("replica sets changed %d, unknown %d, applied %d, refused %d", changed,
		told[register.OutcomeUnknown], told[register.OutcomeApplied], told[register.OutcomeRefused])
	assert.Assert(t, changed > 0)
	assert.Assert(t, told[register.OutcomeUnknown] > 0)
	assert.Assert(t, told[register.OutcomeApplied] > told[register.OutcomeUnknown])
	assert.Assert(t, told[register.OutcomeRefused] > 0)
}

// withoutUnseen leaves out the changes of unknown outcome that nobody saw: they
// can stand at the end of time in every order, which only costs the checker time.
func withoutUnseen(history []porcupine.Operation) []porcupine.Operation {
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

func describe(history []porcupine.Operation) string {
	var text strings.Builder
	for _, entry := range history {
		fmt.Fprintf(&text, "[%d, %d] %+v: %+v\n", entry.Call, entry.Return, entry.Input, entry.Output)
	}
	return text.String()
}
