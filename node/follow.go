package node

import (
	"context"

	"github.com/marblering/marblering/coordination/configuration"
)

// configurationFollower calls follow at its start and after each change of the
// configuration in force. It is a suture service.
type configurationFollower struct {
	// name stands in the log of the supervisor.
	name   string
	holder *configuration.Holder
	follow func()
}

// String implements fmt.Stringer, by which the supervisor names a service.
func (f *configurationFollower) String() string { return "configuration follower " + f.name }

// Serve follows the configuration until the context ends.
func (f *configurationFollower) Serve(ctx context.Context) error {
	for {
		// Taken before the call, so that a change during the call isn't missed.
		changed := f.holder.Changed()
		f.follow()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
