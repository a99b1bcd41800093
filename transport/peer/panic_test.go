package peer_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPanicOfACallFailsThatCallOnly guards against a call that ends one storage node after the
// other, since its caller asks the next member when one fails.
func TestPanicOfACallFailsThatCallOnly(t *testing.T) {
	client := newPeerClient(t)
	member := memberAt(servePeer(t, &echoingReplica{}, &countingHost{}))
	_, err := prepare(t.Context(), client, member, panickingKey)
	assert.ErrorContains(t, err, "this request crashes its replica")
	value, err := prepare(t.Context(), client, member, "next")
	assert.NilError(t, err)
	assert.Equal(t, value, "next")
}
