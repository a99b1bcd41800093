package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
)

// TestFollowerSeesEveryVersion changes the configuration while the follower is
// at work on the one before.
func TestFollowerSeesEveryVersion(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	holder := configuration.NewHolder()
	var seen []uint64
	follower := &configurationFollower{holder: holder, follow: func() {
		version := holder.Version()
		seen = append(seen, version)
		if version == 2 {
			cancel()
			return
		}
		next, err := holder.Current().Apply(version+1, nil)
		assert.NilError(t, err)
		assert.Assert(t, holder.Move(next))
	}}
	assert.ErrorIs(t, follower.Serve(ctx), context.Canceled)
	assert.DeepEqual(t, seen, []uint64{0, 1, 2})
}
