package budget_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/state/budget"
)

// storedRecord returns a record with every field set.
func storedRecord() *statev1.TokenBudget {
	return &statev1.TokenBudget{
		Program: "conversation", Limit: 5000, Settled: 9,
		Holders: []*statev1.TokenHolder{{Holder: "s-1/a", Spent: 40, Reserved: 600}, {Holder: "s-2/a", Spent: 7}},
	}
}

// TestStoredRecord pins the encoded bytes of a record and checks that they decode to the
// same record.
func TestStoredRecord(t *testing.T) {
	encoded, err := budget.Encode(storedRecord())
	assert.NilError(t, err)
	golden.Assert(t, fmt.Sprintf("%x\n", encoded), "record.golden")
	decoded, err := budget.Decode("conversation", encoded)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(decoded, storedRecord()))
}
