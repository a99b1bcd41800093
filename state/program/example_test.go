package program_test

import (
	"fmt"

	"github.com/marblering/marblering/state/program"
)

// A call is admitted, which reserves its tokens, and finished, which settles
// them.
func Example() {
	tree := program.New(program.Specification{Root: "p-7", Tenant: "shop", Model: "m", BudgetTokens: 100})
	outcome, err := program.Admit(tree, program.AdmitRequest{
		Program: "p-7", Tenant: "shop", Key: "k", NewTokens: 12, OutputTokens: 30, Executor: "node-1", Engine: "engine-1",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("reserved", tree.GetBudget().GetReserved())
	program.Finish(tree, program.AttemptReference{Program: "p-7", Sequence: outcome.Call.GetSequence(), Attempt: 1},
		program.Completion{TurnDigest: []byte{1}, PromptTokens: 9, OutputTokens: 8})
	fmt.Println("reserved", tree.GetBudget().GetReserved(), "spent", tree.GetBudget().GetSpent())
	// Output:
	// reserved 42
	// reserved 0 spent 17
}
