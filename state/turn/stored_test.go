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

// storedTurn returns a turn with every field set that builds before routes were stored have.
func storedTurn() *statev1.RetainedTurn {
	return &statev1.RetainedTurn{
		Id: "r-3", Ancestors: []string{"r-1", "r-2"}, Input: []byte(`{"messages":[{"role":"user","content":"q"}]}`),
		Output: []byte("{\"delta\":\"a\"}\n[DONE]\n"), RetentionMs: 60_000, Tenant: "shop",
	}
}

// storedTurnOfRoute returns a turn with every field set.
func storedTurnOfRoute() *statev1.RetainedTurn {
	stored := storedTurn()
	stored.Route = "desk"
	return stored
}

// storedObjects are the turns of the objects in testdata.
func storedObjects() map[string]*statev1.RetainedTurn {
	return map[string]*statev1.RetainedTurn{"object.golden": storedTurn(), "object-route.golden": storedTurnOfRoute()}
}

// TestStoredObjectIsRead checks that the objects in testdata still decode to the same turns.
func TestStoredObjectIsRead(t *testing.T) {
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	for file, stored := range storedObjects() {
		var object, digest []byte
		_, err = fmt.Sscanf(string(golden.Get(t, file)), "object %x\ndigest %x\n", &object, &digest)
		assert.NilError(t, err)
		decoded, err := codec.Decode("r-3", object, [sha256.Size]byte(digest))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(decoded, stored), file)
	}
}

// TestStoredObjectIsWritten pins the encoded bytes. A new version of the compressor may
// change them, as long as TestStoredObjectIsRead passes with the old object.
func TestStoredObjectIsWritten(t *testing.T) {
	codec, err := turn.NewCodec()
	assert.NilError(t, err)
	for file, stored := range storedObjects() {
		object, digest, err := codec.Encode(stored)
		assert.NilError(t, err)
		golden.Assert(t, fmt.Sprintf("object %x\ndigest %x\n", object, digest), file)
	}
}
