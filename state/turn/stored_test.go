package turn_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/turn"
)

// storedTurn returns a turn with every field set.
func storedTurn() *statev1.RetainedTurn {
	return &statev1.RetainedTurn{
		Id: "r-3", Ancestors: []string{"r-1", "r-2"}, Input: []byte(`{"messages":[{"role":"user","content":"q"}]}`),
		Output: []byte("{\"delta\":\"a\"}\n[DONE]\n"), RetentionMs: 60_000, Tenant: "shop",
	}
}

// TestStoredObjectIsRead checks that the object in testdata still decodes to the same
// turn.
func TestStoredObjectIsRead(t *testing.T) {
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	var object, digest []byte
	_, err = fmt.Sscanf(string(golden.Get(t, "object.golden")), "object %x\ndigest %x\n", &object, &digest)
	assert.NilError(t, err)
	decoded, err := codec.Decode("r-3", object, [sha256.Size]byte(digest))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(decoded, storedTurn()))
}

// TestStoredObjectIsWritten pins the encoded bytes. A new version of the compressor may
// change them, as long as TestStoredObjectIsRead passes with the old object.
func TestStoredObjectIsWritten(t *testing.T) {
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	object, digest, err := codec.Encode(storedTurn())
	assert.NilError(t, err)
	golden.Assert(t, fmt.Sprintf("object %x\ndigest %x\n", object, digest), "object.golden")
}
