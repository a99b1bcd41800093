package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// SealRequest ends the epoch of the fence on a replica.
type SealRequest struct {
	Fence register.Fence
	// Successor is the decided view of the next epoch.
	Successor register.View
}

// TurnReference identifies a stored turn.
type TurnReference struct {
	Program  string
	Sequence uint64
	Digest   [32]byte
}

// PullRequest reads the data that a replica holds of a shard.
type PullRequest struct {
	Fence register.Fence
	// TurnsOnly omits the registers. It is allowed before the seal, since turns are
	// immutable.
	TurnsOnly bool
	// OmitObjects sends turns without their objects, to list them.
	OmitObjects bool
	// Wanted, if not empty, selects the turns to send; no registers are sent then.
	Wanted []TurnReference
}

// isFullListing reports whether the request is for everything that the replica holds.
func (p PullRequest) isFullListing() bool { return !p.TurnsOnly && len(p.Wanted) == 0 }

// PullItem is either a register or a turn; the other field is nil.
type PullItem struct {
	Register *RegisterState
	Turn     *replica.Turn
}

// RegisterState is the state of the register with the given key.
type RegisterState struct {
	Key   string
	State replica.Register
}

// InstallRequest tells a member of the successor view to copy the shard.
type InstallRequest struct {
	Previous  register.View
	Successor register.View
	// TurnsOnly precopies turns before the previous epoch is sealed.
	TurnsOnly bool
	// Backfill has a member of the previous view precopy the turns that it lacks. Without
	// it, such a member only reports whether it holds the previous epoch.
	Backfill bool
}

// OpenRequest lets a member that has installed the view serve its epoch.
type OpenRequest struct {
	View register.View
}

// Source reads from the members of a replica set. Pull visits the items in the order in
// which the replica sends them, and stops at an error of visit.
type Source interface {
	Pull(ctx context.Context, member register.Member, request PullRequest, visit func(PullItem) error) (archive.Reply, error)
}

// Members sends the requests of a Driver. A request that returns an error may still have
// taken effect; every request is idempotent.
type Members interface {
	register.Transport
	Seal(ctx context.Context, member register.Member, request SealRequest) (archive.Reply, error)
	// Install returns once the member has copied the shard, which takes longer than the other
	// requests.
	Install(ctx context.Context, member register.Member, request InstallRequest) (archive.Reply, error)
	Open(ctx context.Context, member register.Member, request OpenRequest) (archive.Reply, error)
}
