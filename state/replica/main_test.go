package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the property tests. Command-line flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
