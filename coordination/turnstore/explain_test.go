package turnstore_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/test/bubble"
)

// TestUnknownTurnNamesWhoAnswered guards against a turn that is refused as unknown, or
// because its shard can't be read, while no log tells which members answered in which epoch.
func TestUnknownTurnNamesWhoAnswered(t *testing.T) {
	m, v := newMembers(2)
	reader := newStore(t, "z1", m, v)
	var unknown, unavailable error
	bubble.Test(t, func(*testing.T) {
		m.down["m2"] = true
		_, unknown = reader.History(context.Background(), "p", "never")
		m.down["m1"] = true
		_, unavailable = reader.History(context.Background(), "p", "never")
	})
	assert.ErrorIs(t, unknown, turnstore.ErrTurnNotFound)
	assert.Assert(t, is.Regexp("shard 0 epoch 1: (m0 m1|m1 m0)", unknown.Error()))
	assert.Assert(t, is.Regexp("shard 1 epoch 1: (m0 m1|m1 m0)", unknown.Error()))
	assert.ErrorIs(t, unavailable, turnstore.ErrNoQuorum)
	assert.ErrorContains(t, unavailable, ", epoch 1 of shard")
	assert.ErrorContains(t, unavailable, "member m")
}
