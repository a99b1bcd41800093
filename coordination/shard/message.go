package shard

import (
	"context"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// SealRequest ends the fence's epoch at a replica.
type SealRequest struct {
	Fence register.Fence
	// Successor is the decided view of the next epoch.
	Successor register.View
}

// TurnReference names a stored turn.
type TurnReference struct {
	Program  string
	Sequence uint64
	Digest   [32]byte
}

// PullRequest reads what a replica holds of a shard.
type PullRequest struct {
	Fence register.Fence
	// TurnsOnly leaves the registers out. It is allowed before the seal, since
	// a turn never changes.
	TurnsOnly bool
	// OmitObjects sends turns without their objects, to find the missing ones.
	OmitObjects bool
	// Wanted limits the turns to these, where it isn't empty; no registers are
	// sent then.
	Wanted []TurnReference
}

// PullItem is one register or one turn; the other is nil.
type PullItem struct {
	Register *RegisterState
	Turn     *replica.Turn
}

// RegisterState is one register with its key.
type RegisterState struct {
	Key   string
	State replica.Register
}

// InstallRequest tells a member of the successor set to copy the shard.
type InstallRequest struct {
	Previous  register.View
	Successor register.View
	// TurnsOnly copies turns ahead, before the previous epoch is sealed.
	TurnsOnly bool
	// Fill has a member of the previous view copy the turns ahead that it lacks;
	// without it, such a member only says whether it holds the previous epoch.
	Fill bool
}

// OpenRequest lets an installed member serve the view's epoch.
type OpenRequest struct {
	View register.View
}

// Source reads from the members of a replica set. Pull visits the items in the
// order in which the replica sends them; an error of the visit ends it.
type Source interface {
	Pull(ctx context.Context, member register.Member, request PullRequest, visit func(PullItem) error) (archive.Reply, error)
}

// Members carries the requests of a Driver. An error says nothing about whether
// the request had its effect; each may be repeated.
type Members interface {
	register.Transport
	Seal(ctx context.Context, member register.Member, request SealRequest) (archive.Reply, error)
	// Install returns when the member has copied the shard, which takes longer
	// than the other requests.
	Install(ctx context.Context, member register.Member, request InstallRequest) (archive.Reply, error)
	Open(ctx context.Context, member register.Member, request OpenRequest) (archive.Reply, error)
}
