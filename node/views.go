package node

import (
	"context"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/shard"
)

// shardViews implements register.Views with the shard map and the version of the
// configuration, which fences every change.
type shardViews struct {
	*shard.Map
	holder *configuration.Holder
}

// ConfigurationVersion implements register.Views.
func (v *shardViews) ConfigurationVersion() uint64 { return v.holder.Version() }

// LearnConfiguration waits until this node has the version that a replica knows, or
// the context ends.
func (v *shardViews) LearnConfiguration(ctx context.Context, version uint64) {
	// Where the wait fails, the replica refuses the next round as well and says why.
	_, _ = v.holder.Wait(ctx, version)
}
