package peer

import (
	"encoding/hex"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/tokenbudget"
)

// The encoded end of turn "t" of program "p" with 100 tokens, as gateways of earlier
// versions send it, and the field that current gateways append to say that the name is
// unique to one attempt.
const (
	earlierEndedTurn = "0a017012017418" + "64"
	uniqueField      = "2001"
)

// TestEndedTurnsOfEarlierVersionsMayRecur guards compatibility with earlier versions: a turn
// without the field may recur, and their fields are sent unchanged.
func TestEndedTurnsOfEarlierVersionsMayRecur(t *testing.T) {
	encoded, err := hex.DecodeString(earlierEndedTurn)
	assert.NilError(t, err)
	earlier := &peerv1.EndedTurn{}
	assert.NilError(t, proto.Unmarshal(encoded, earlier))
	ended := endedFromWire([]*peerv1.EndedTurn{earlier})
	assert.DeepEqual(t, ended, []tokenbudget.EndedTurn{{Program: "p", Reservation: "t", TokensUsed: 100, NameMayRecur: true}})

	now, err := proto.Marshal(endedToWire([]tokenbudget.EndedTurn{{Program: "p", Reservation: "t", TokensUsed: 100}})[0])
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(now), earlierEndedTurn+uniqueField)
	assert.Assert(t, !endedFromWire(endedToWire([]tokenbudget.EndedTurn{{}}))[0].NameMayRecur)
}
