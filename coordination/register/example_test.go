package register_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/marblering/marblering/coordination/register"
)

// A change that sets the register only once and recognises that it was applied before.
func ExampleClient_Apply() {
	cluster := newMemoryCluster("a", "b", "c")
	client := register.NewClient("a-1", cluster, cluster, register.SystemClock{},
		rand.New(rand.NewPCG(1, 1)), register.DefaultSettings())
	errTaken := errors.New("taken by another")
	claim := func(owner string) register.Change {
		return func(current []byte) ([]byte, error) {
			if current != nil && string(current) != owner {
				return nil, errTaken
			}
			return []byte(owner), nil
		}
	}
	value, err := client.Apply(context.Background(), 0, "program-1", claim("first"))
	fmt.Println(string(value), err)
	value, err = client.Apply(context.Background(), 0, "program-1", claim("first"))
	fmt.Println(string(value), err)
	_, err = client.Apply(context.Background(), 0, "program-1", claim("second"))
	fmt.Println(errors.Is(err, errTaken))
	// Output:
	// first <nil>
	// first <nil>
	// true
}
