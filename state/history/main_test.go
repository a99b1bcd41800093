package history_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests to make them reproducible. The
// flag -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
