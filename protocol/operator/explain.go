package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/marblering/marblering/state/result"
)

func (i *Interpreter) explain(ctx context.Context, request Request, explain *Explain) (Answer, error) {
	var answer *ExplanationAnswer
	var err error
	if explain.Call != nil {
		answer, err = i.explainCall(ctx, request.Text, explain.Call)
	} else {
		answer, err = i.explainProgram(ctx, explain.Program.Text)
	}
	if err != nil {
		return Answer{}, err
	}
	return Answer{Explanation: answer}, nil
}

func (i *Interpreter) explainProgram(ctx context.Context, id string) (*ExplanationAnswer, error) {
	programs, err := i.rowsWhere(ctx, "programs", "id", id)
	if err != nil {
		return nil, err
	}
	if len(programs.Rows) == 0 {
		return nil, notFound(programs, "no program %q is known", id)
	}
	calls, err := i.rowsWhere(ctx, "calls", "program", id)
	if err != nil {
		return nil, err
	}
	answer := &ExplanationAnswer{Program: programs, Calls: calls, Incomplete: calls.Incomplete}
	return answer, i.addDecisions(ctx, answer, id, func(Decision) bool { return true })
}

func (i *Interpreter) explainCall(ctx context.Context, source string, word *Word) (*ExplanationAnswer, error) {
	program, sequence, err := splitCall(source, word)
	if err != nil {
		return nil, err
	}
	calls, err := i.rowsWhere(ctx, "calls", "id", CallID(program, sequence))
	if err != nil {
		return nil, err
	}
	if len(calls.Rows) == 0 {
		return nil, notFound(calls, "no call %q is remembered; the programs' records keep recent calls only", word.Text)
	}
	answer := &ExplanationAnswer{Call: calls, Incomplete: calls.Incomplete}
	unnamed := 0
	ofCall := func(decision Decision) bool {
		if decision.Sequence == 0 {
			unnamed++
		}
		return decision.Sequence == sequence
	}
	if err := i.addDecisions(ctx, answer, program, ofCall); err != nil {
		return nil, err
	}
	if unnamed > 0 && answer.Incomplete == "" {
		answer.Incomplete = fmt.Sprintf("%d choices of the program don't say for which call they were; explain program %s shows them", unnamed, program)
	}
	return answer, nil
}

// rowsWhere returns the rows of a table whose column has the value.
func (i *Interpreter) rowsWhere(ctx context.Context, name, column, value string) (*TableAnswer, error) {
	found := i.tables[slices.IndexFunc(i.tables, func(t *table) bool { return t.name == name })]
	comparison := &Comparison{Column: &Word{Text: column}, Operator: "=", Value: &Word{Text: value}}
	condition := &Condition{Alternatives: []*Conjunction{{Terms: []*Term{{Comparison: comparison}}}}}
	query := &Query{Table: &Word{Text: found.name}, Where: condition}
	plan, err := planQuery("", query, i.tables)
	if err != nil {
		return nil, err
	}
	return i.rows(ctx, plan)
}

// notFound returns the error for a row that wasn't found. Where rows are missing
// it may exist, which the error then says.
func notFound(answer *TableAnswer, format string, arguments ...any) error {
	failure := result.Errorf(result.UnknownObject, format, arguments...)
	if answer.Incomplete != "" {
		failure = result.Errorf(result.NoQuorum, "%s among what could be read: %s", failure.Message, answer.Incomplete)
	}
	return failure
}

func (i *Interpreter) addDecisions(ctx context.Context, answer *ExplanationAnswer, program string, wanted func(Decision) bool) error {
	decisions, err := i.options.Backend.Decisions(ctx, program)
	if err != nil {
		return err
	}
	answer.Decisions = []Decision{}
	for _, decision := range decisions.Rows {
		if wanted(decision) {
			answer.Decisions = append(answer.Decisions, decision)
		}
	}
	if answer.Incomplete == "" {
		answer.Incomplete = decisions.Incomplete
	}
	return nil
}
