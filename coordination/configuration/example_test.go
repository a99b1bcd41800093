package configuration_test

import (
	"fmt"

	"github.com/marblering/marblering/coordination/configuration"
)

func Example() {
	pool := configuration.Key{Kind: configuration.KindPool, Name: "main"}
	model := configuration.Key{Kind: configuration.KindModel, Name: "small"}
	poolObject := configuration.Object{Key: pool, Version: 1, Body: []byte(`{"zones":["hall-a"],"models":["small"],"roles":["mixed"]}`)}
	modelObject := configuration.Object{Key: model, Version: 2, Body: []byte(`{"context_tokens":32768,"default_max_tokens":512}`)}

	var empty *configuration.Snapshot
	_, err := empty.Apply(1, []configuration.Object{poolObject})
	fmt.Println(err)

	holder := configuration.NewHolder()
	snapshot, err := empty.Apply(2, []configuration.Object{poolObject, modelObject})
	fmt.Println(err, holder.Move(snapshot), holder.Version())
	// Output:
	// pool/main: field models[0]: there is no model/small; allowed: the name of an existing model
	// <nil> true 2
}
