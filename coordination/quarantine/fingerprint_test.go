package quarantine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/quarantine"
)

// TestFingerprintsDiffer guards against requests that are taken for each other since the
// parts of one, put together, read like those of another.
func TestFingerprintsDiffer(t *testing.T) {
	seen := make(map[quarantine.Fingerprint][]string)
	for _, parts := range [][]string{{}, {""}, {"", ""}, {"ab"}, {"a", "b"}, {"b", "a"}, {"ab", ""}, {"", "ab"}} {
		var encoded [][]byte
		for _, part := range parts {
			encoded = append(encoded, []byte(part))
		}
		fingerprint := quarantine.FingerprintOf(encoded...)
		assert.Equal(t, fingerprint, quarantine.FingerprintOf(encoded...))
		assert.Assert(t, seen[fingerprint] == nil, "%q and %q", parts, seen[fingerprint])
		seen[fingerprint] = parts
	}
}
