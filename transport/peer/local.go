package peer

import (
	"context"

	"github.com/marblering/marblering/coordination/register"
)

// LocalReplica is this node's replica, called directly.
type LocalReplica interface {
	Prepare(ctx context.Context, request register.PrepareRequest) register.PrepareReply
	Accept(ctx context.Context, request register.AcceptRequest) register.AcceptReply
}

// LocalTransport implements register.Transport. It calls this node's replica directly
// and sends requests to other members over the remote transport.
type LocalTransport struct {
	incarnation string
	replica     LocalReplica
	remote      register.Transport
}

// NewLocalTransport returns a transport for the node with the given incarnation.
func NewLocalTransport(incarnation string, replica LocalReplica, remote register.Transport) *LocalTransport {
	return &LocalTransport{incarnation: incarnation, replica: replica, remote: remote}
}

// Prepare implements register.Transport.
func (t *LocalTransport) Prepare(ctx context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	if member.Incarnation == t.incarnation {
		return t.replica.Prepare(ctx, request), nil
	}
	return t.remote.Prepare(ctx, member, request)
}

// Accept implements register.Transport.
func (t *LocalTransport) Accept(ctx context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	if member.Incarnation == t.incarnation {
		return t.replica.Accept(ctx, request), nil
	}
	return t.remote.Accept(ctx, member, request)
}
