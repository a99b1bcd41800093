package node

import (
	"context"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/shard"
)

// shardViews is the shard map together with the configuration version that
// fences every change.
type shardViews struct {
	*shard.Map
	holder *configuration.Holder
}

// ConfigurationVersion implements register.Views.
func (v *shardViews) ConfigurationVersion() uint64 { return v.holder.Version() }

// LearnConfiguration waits until this node has the version that a replica
// knows, as far as the context allows.
func (v *shardViews) LearnConfiguration(ctx context.Context, version uint64) {
	// Where the wait fails the next round is refused again and says so.
	_, _ = v.holder.Wait(ctx, version)
}
