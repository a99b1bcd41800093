package history_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/history"
)

// storedTurns returns a turn with every field set, one that compresses well, and one that
// is stored uncompressed because compression would make it larger.
func storedTurns() []*statev1.Turn {
	return []*statev1.Turn{
		{
			Program: "p-1.2", Sequence: 300, Previous: bytes.Repeat([]byte{7}, 32), Key: "k", RequestDigest: []byte{1, 2, 3},
			Messages: []byte(`[{"role":"user"}]`), Answer: []byte(`{"role":"assistant"}`), FinishReason: "stop",
			PromptTokens: 10, OutputTokens: 20, CachedTokens: 5, Engine: "e-1", Model: "m", CreatedUnixMs: 1_700_000_000_000,
		},
		{Program: "p-1", Sequence: 1, Messages: []byte(`[]`), Answer: bytes.Repeat([]byte("again "), 100)},
		{Program: "p", Sequence: 1},
	}
}

// TestDecodeStoredObjects checks that objects in testdata decode to the same turns.
func TestDecodeStoredObjects(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(string(golden.Get(t, "objects.golden"))), "\n")
	assert.Equal(t, len(lines), len(storedTurns()))
	for index, expected := range storedTurns() {
		var object, digest []byte
		_, err := fmt.Sscanf(lines[index], "digest %x object %x", &digest, &object)
		assert.NilError(t, err)
		parsed, err := history.ParseDigest(digest)
		assert.NilError(t, err)
		decoded, err := history.Decode(object, parsed)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(decoded, expected))
	}
}

// TestEncodedObjectsAreStable guards against changes to the digests of turns, which existing
// records contain as references, and to the encoded objects.
func TestEncodedObjectsAreStable(t *testing.T) {
	var text strings.Builder
	for _, turn := range storedTurns() {
		object, digest, err := history.Encode(turn)
		assert.NilError(t, err)
		fmt.Fprintf(&text, "digest %x object %x\n", digest[:], object)
	}
	// Another version of the compressor may change the objects, but not the digests, provided
	// that TestDecodeStoredObjects passes.
	golden.Assert(t, text.String(), "objects.golden")
}
