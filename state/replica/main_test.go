package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, which the command line may
// override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
