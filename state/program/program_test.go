package program_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/result"
)

const testRoot = "p-1"

func newTree(budget uint64) *statev1.ProgramTree {
	return program.New(program.Specification{
		Root: testRoot, Tenant: "tenant", Model: "model", BudgetTokens: budget,
	})
}

func request(key string) program.AdmitRequest {
	return program.AdmitRequest{
		Program: testRoot, Tenant: "tenant", Key: key, RequestDigest: []byte(key), Repeatable: true,
		NewTokens: 10, OutputTokens: 20, Executor: "executor-1", Engine: "engine-1",
	}
}

func mustAdmit(t *testing.T, tree *statev1.ProgramTree, request program.AdmitRequest) program.AdmitOutcome {
	t.Helper()
	outcome, err := program.Admit(tree, request)
	assert.NilError(t, err)
	return outcome
}

func reference(call *statev1.Call) program.AttemptReference {
	return program.AttemptReference{Program: testRoot, Sequence: call.GetSequence(), Attempt: call.GetAttempt()}
}

func TestAdmitRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*statev1.ProgramTree, *program.AdmitRequest)
		code   result.Code
	}{
		{"ended", func(tree *statev1.ProgramTree, _ *program.AdmitRequest) { program.End(tree, testRoot, "done", 1) }, result.ProgramEnded},
		{"budget", func(_ *statev1.ProgramTree, r *program.AdmitRequest) { r.OutputTokens = 1000 }, result.BudgetExhausted},
		{"context", func(_ *statev1.ProgramTree, r *program.AdmitRequest) { r.ContextTokens = 29 }, result.ContextTooLong},
		{"deadline", func(_ *statev1.ProgramTree, r *program.AdmitRequest) { r.DeadlineUnixMS, r.NowUnixMS = 1, 2 }, result.DeadlineExceeded},
		{"turns", func(tree *statev1.ProgramTree, _ *program.AdmitRequest) {
			tree.TurnLimit = 3
			tree.Programs[0].NextSequence = 4
		}, result.TurnLimit},
		{"sequence", func(tree *statev1.ProgramTree, r *program.AdmitRequest) {
			tree.Programs[0].NextSequence = 4
			r.Sequence = 2
		}, result.SequenceOutOfTurn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tree := newTree(100)
			asked := request("k")
			c.change(tree, &asked)
			outcome := mustAdmit(t, tree, asked)
			assert.Equal(t, outcome.Kind, program.Final)
			assert.Equal(t, outcome.Refusal.Code, c.code)
			assert.Equal(t, tree.GetBudget().GetReserved(), uint64(0))

			// A late duplicate gets the same refusal, whatever has changed.
			tree.Budget.Limit = 100000
			repeat := mustAdmit(t, tree, asked)
			assert.Equal(t, repeat.Kind, program.Final)
			assert.Equal(t, repeat.Refusal.Code, c.code)
		})
	}
}

func TestAdmitForeignTenant(t *testing.T) {
	asked := request("k")
	asked.Tenant = "other"
	_, err := program.Admit(newTree(100), asked)
	var refusal *result.Error
	assert.Assert(t, errorAs(err, &refusal))
	assert.Equal(t, refusal.Code, result.ForeignProgram)
}

func errorAs(err error, target **result.Error) bool {
	converted, ok := err.(*result.Error)
	*target = converted
	return ok
}

func TestCallsOfOneProgramRunInOrder(t *testing.T) {
	tree := newTree(1000)
	first := mustAdmit(t, tree, request("first"))
	assert.Equal(t, mustAdmit(t, tree, request("second")).Kind, program.Behind)
	early := request("third")
	early.Sequence = 3
	assert.Equal(t, mustAdmit(t, tree, early).Kind, program.Behind)
	program.Finish(tree, reference(first.Call), program.Completion{TurnDigest: []byte("turn"), PromptTokens: 10, OutputTokens: 5})
	second := mustAdmit(t, tree, request("second"))
	assert.Equal(t, second.Kind, program.Admitted)
	assert.Equal(t, second.Call.GetSequence(), uint64(2))
}

func TestLateResultOfReplacedAttemptIsRefused(t *testing.T) {
	tree := newTree(1000)
	admitted := mustAdmit(t, tree, request("k"))
	old := reference(admitted.Call)
	next, changed := program.Replace(tree, old, program.Replacement{Executor: "executor-2", Engine: "engine-2", Lost: true, MaxAttempts: 3})
	assert.Assert(t, changed)
	assert.Equal(t, next.GetAttempt(), uint32(2))
	_, changed = program.Finish(tree, old, program.Completion{TurnDigest: []byte("late")})
	assert.Assert(t, !changed)
	_, changed = program.Finish(tree, reference(next), program.Completion{TurnDigest: []byte("right"), PromptTokens: 10})
	assert.Assert(t, changed)
	assert.Equal(t, string(tree.GetPrograms()[0].GetChainHead()), "right")
	assert.Equal(t, tree.GetBudget().GetSpent(), uint64(30+10))
}

func TestNotRepeatableHasOneAttempt(t *testing.T) {
	tree := newTree(1000)
	asked := request("k")
	asked.Repeatable = false
	admitted := mustAdmit(t, tree, asked)
	ended, _ := program.Replace(tree, reference(admitted.Call), program.Replacement{Executor: "executor-2", Lost: true, MaxAttempts: 3})
	assert.Equal(t, ended.GetState(), statev1.CallState_CALL_STATE_FAILED)
	for range 3 {
		repeat := mustAdmit(t, tree, asked)
		assert.Equal(t, repeat.Kind, program.Final)
		assert.Equal(t, repeat.Refusal.Code, result.OutcomeUnknown)
	}
	assert.Equal(t, tree.GetBudget().GetSpent(), uint64(30))
}

func TestHoldsOfEndedProgramsAreReleasable(t *testing.T) {
	tree := newTree(1000)
	admitted := mustAdmit(t, tree, request("k"))
	program.Finish(tree, reference(admitted.Call), program.Completion{TurnDigest: []byte("turn")})
	assert.Equal(t, len(program.ReleasableHolds(tree)), 0)
	program.End(tree, testRoot, "done", 1)
	holds := program.ReleasableHolds(tree)
	assert.Equal(t, len(holds), 1)
	assert.Assert(t, program.ClearHold(tree, holds[0].GetProgram(), holds[0].GetEngine()))
	assert.Equal(t, len(tree.GetHolds()), 0)
}

// TestRecordProperties drives a tree with random operations in any order, as
// late and repeated messages would, and checks what must always hold.
func TestRecordProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := newTree(rapid.Uint64Range(1, 2000).Draw(t, "budget"))
		model := newPropertyModel()
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			model.step(t, tree)
			model.check(t, tree)
		}
	})
}

type propertyModel struct {
	references []program.AttemptReference
	repeatable map[string]bool
	ran        map[string]int
	finished   map[string]string
	programs   []string
}

func newPropertyModel() *propertyModel {
	return &propertyModel{
		repeatable: map[string]bool{}, ran: map[string]int{}, finished: map[string]string{},
		programs: []string{testRoot},
	}
}

func (m *propertyModel) step(t *rapid.T, tree *statev1.ProgramTree) {
	switch rapid.SampledFrom([]string{"admit", "admit", "finish", "replace", "fail", "child", "end"}).Draw(t, "step") {
	case "admit":
		m.admit(t, tree)
	case "finish":
		if reference, ok := m.draw(t); ok {
			spent := rapid.Uint64Range(0, 30).Draw(t, "spent")
			digest := fmt.Sprintf("%v", reference)
			program.Finish(tree, reference, program.Completion{TurnDigest: []byte(digest), PromptTokens: spent})
		}
	case "replace":
		if reference, ok := m.draw(t); ok {
			m.replace(t, tree, reference)
		}
	case "fail":
		if reference, ok := m.draw(t); ok {
			program.Fail(tree, reference, result.EngineFailed, rapid.Bool().Draw(t, "spent"))
		}
	case "child":
		child, _, err := program.Child(tree, "tenant", testRoot, fmt.Sprint(len(m.programs)), 1)
		if err == nil {
			m.programs = append(m.programs, child.GetId())
		}
	case "end":
		if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
			program.End(tree, rapid.SampledFrom(m.programs).Draw(t, "ended"), "test", 1)
		}
	}
}

func (m *propertyModel) admit(t *rapid.T, tree *statev1.ProgramTree) {
	asked := request(fmt.Sprintf("key-%d", rapid.IntRange(0, 12).Draw(t, "key")))
	asked.Program = rapid.SampledFrom(m.programs).Draw(t, "program")
	asked.Executor = rapid.SampledFrom([]string{"executor-1", "executor-2"}).Draw(t, "executor")
	id := asked.Program + "/" + asked.Key
	if _, known := m.repeatable[id]; !known {
		m.repeatable[id] = rapid.Bool().Draw(t, "repeatable")
	}
	asked.Repeatable = m.repeatable[id]
	outcome, err := program.Admit(tree, asked)
	if err != nil || outcome.Kind != program.Admitted || !outcome.Changed {
		return
	}
	m.ran[id]++
	m.references = append(m.references, program.AttemptReference{
		Program: asked.Program, Sequence: outcome.Call.GetSequence(), Attempt: outcome.Call.GetAttempt(),
	})
}

func (m *propertyModel) replace(t *rapid.T, tree *statev1.ProgramTree, reference program.AttemptReference) {
	next, changed := program.Replace(tree, reference, program.Replacement{Executor: "executor-3", Lost: true, MaxAttempts: 3})
	if !changed || next.GetState() != statev1.CallState_CALL_STATE_DISPATCHED {
		return
	}
	m.ran[reference.Program+"/"+next.GetKey()]++
	m.references = append(m.references, program.AttemptReference{
		Program: reference.Program, Sequence: next.GetSequence(), Attempt: next.GetAttempt(),
	})
}

func (m *propertyModel) draw(t *rapid.T) (program.AttemptReference, bool) {
	if len(m.references) == 0 {
		return program.AttemptReference{}, false
	}
	return rapid.SampledFrom(m.references).Draw(t, "reference"), true
}

func (m *propertyModel) check(t *rapid.T, tree *statev1.ProgramTree) {
	budget := tree.GetBudget()
	if budget.GetReserved()+budget.GetSpent() > budget.GetLimit() {
		t.Fatalf("budget overrun: %v", budget)
	}
	reserved := uint64(0)
	for _, candidate := range tree.GetPrograms() {
		running := 0
		for _, call := range candidate.GetCalls() {
			reserved += call.GetReserved()
			if call.GetState() == statev1.CallState_CALL_STATE_DISPATCHED {
				running++
			}
			m.checkFinal(t, candidate.GetId(), call)
		}
		if running > 1 || (running > 0 && candidate.GetEnded()) {
			t.Fatalf("program %q has %d running calls, ended %v", candidate.GetId(), running, candidate.GetEnded())
		}
		if len(candidate.GetCalls()) > 5 {
			t.Fatalf("%d calls in the window", len(candidate.GetCalls()))
		}
	}
	if reserved != budget.GetReserved() {
		t.Fatalf("calls reserve %d, the budget says %d", reserved, budget.GetReserved())
	}
	for id, times := range m.ran {
		if !m.repeatable[id] && times > 1 {
			t.Fatalf("call %s must not be repeated and was given out %d times", id, times)
		}
	}
}

// checkFinal checks that a final call never changes.
func (m *propertyModel) checkFinal(t *rapid.T, id string, call *statev1.Call) {
	if call.GetState() == statev1.CallState_CALL_STATE_DISPATCHED {
		return
	}
	key := id + "/" + call.GetKey()
	now := fmt.Sprintf("%v %s %d", call.GetState(), call.GetTurnDigest(), call.GetResultCode())
	if before, found := m.finished[key]; found && before != now {
		t.Fatalf("final call %s changed from %s to %s", key, before, now)
	}
	m.finished[key] = now
}

func TestRefusedKeyStaysNotRunBeyondTheWindow(t *testing.T) {
	tree := newTree(100)
	tooLarge := request("refused")
	tooLarge.OutputTokens = 1000
	mustAdmit(t, tree, tooLarge)
	for index := range 10 {
		later := request(fmt.Sprintf("later-%d", index))
		later.OutputTokens = 1000
		mustAdmit(t, tree, later)
	}
	tree.Budget.Limit = 100000
	again := mustAdmit(t, tree, tooLarge)
	assert.Equal(t, again.Kind, program.Final)
	assert.Equal(t, again.Refusal.Code.Info().Execution, result.NotRun)
}

// TestRefusalsForgetNoFinishedCall guards against a late duplicate of a finished call that
// runs again, since the keys of refused calls have displaced its own.
func TestRefusalsForgetNoFinishedCall(t *testing.T) {
	tree := newTree(100000)
	tree.TurnLimit = 10
	first := mustAdmit(t, tree, request("first"))
	_, changed := program.Finish(tree, reference(first.Call), program.Completion{TurnDigest: []byte("turn"), PromptTokens: 1, OutputTokens: 1})
	assert.Assert(t, changed)
	for number := range 1000 {
		refused := request(fmt.Sprint("refused", number))
		refused.DeadlineUnixMS, refused.NowUnixMS = 1, 2
		assert.Equal(t, mustAdmit(t, tree, refused).Kind, program.Final)
	}
	assert.Equal(t, mustAdmit(t, tree, request("first")).Kind, program.Dropped, "the finished call runs again")
	assert.Assert(t, len(tree.GetPrograms()[0].GetDroppedKeys()) <= 10+256, "the record grows with refusals")
}
