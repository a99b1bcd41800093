package replica_test

import (
	"fmt"

	"github.com/marblering/marblering/state/replica"
)

func ExampleNewMemory() {
	store := replica.NewMemory()
	defer store.Close()

	ballot := replica.Ballot{Counter: 1, Proposer: "node-a/1"}
	state := replica.Register{Promised: ballot, Accepted: ballot, Value: []byte("record")}
	if err := store.SaveRegister(7, "program", state); err != nil {
		fmt.Println(err)
		return
	}
	loaded, err := store.LoadRegister(7, "program")
	fmt.Println(string(loaded.Value), loaded.Accepted.Counter, err)
	// Output: record 1 <nil>
}
