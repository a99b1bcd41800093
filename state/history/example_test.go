package history_test

import (
	"fmt"
	"slices"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/history"
	"github.com/marblering/marblering/state/replica"
)

// A turn is encoded before it is stored. The head is enough to read it back and
// verify it.
func Example() {
	turn := &statev1.Turn{
		Program:  "program-1",
		Sequence: 1,
		Messages: []byte(`[{"role":"user","content":"Which grind?"}]`),
		Answer:   []byte(`{"role":"assistant","content":"Medium."}`),
	}
	object, digest, err := history.Encode(turn)
	if err != nil {
		fmt.Println(err)
		return
	}
	stored := replica.Turn{Program: "program-1", Sequence: 1, Digest: digest, Object: object}

	turns, missing, err := history.Assemble("program-1", digest.Bytes(), slices.Values([]replica.Turn{stored}))
	fmt.Println(len(turns), len(missing), err)

	chain, err := history.NewChain("program-1", digest.Bytes(), turns)
	for _, message := range chain.Messages() {
		fmt.Println(string(message))
	}
	fmt.Println(chain.Tokens(), err)
	// Output:
	// 1 0 <nil>
	// {"role":"user","content":"Which grind?"}
	// {"role":"assistant","content":"Medium."}
	// 28 <nil>
}
