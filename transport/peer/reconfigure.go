package peer

import (
	"context"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

var (
	_ shard.Members = (*Client)(nil)
	_ shard.Source  = (*Client)(nil)
)

func replyFromWire(refusal peerv1.Refusal, view *peerv1.ShardView) archive.Reply {
	return archive.Reply{Refusal: register.Refusal(refusal), View: ViewFromWire(view)}
}

// Seal implements shard.Members.
func (c *Client) Seal(ctx context.Context, member register.Member, request shard.SealRequest) (archive.Reply, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.replica(member.Address).Seal(ctx, connect.NewRequest(&peerv1.SealRequest{
		Fence:     fenceToWire(request.Fence),
		Successor: ViewToWire(&request.Successor),
	}))
	if err != nil {
		return archive.Reply{}, err
	}
	return replyFromWire(response.Msg.GetRefusal(), response.Msg.GetView()), nil
}

// Install implements shard.Members. Copying a shard may take longer than the client's
// timeout, so only the caller's context bounds it.
func (c *Client) Install(ctx context.Context, member register.Member, request shard.InstallRequest) (archive.Reply, error) {
	response, err := c.replica(member.Address).Install(ctx, connect.NewRequest(&peerv1.InstallRequest{
		Previous:  ViewToWire(&request.Previous),
		Successor: ViewToWire(&request.Successor),
		TurnsOnly: request.TurnsOnly,
		Fill:      request.Backfill,
	}))
	if err != nil {
		return archive.Reply{}, err
	}
	return replyFromWire(response.Msg.GetRefusal(), response.Msg.GetView()), nil
}

// Open implements shard.Members.
func (c *Client) Open(ctx context.Context, member register.Member, request shard.OpenRequest) (archive.Reply, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	response, err := c.replica(member.Address).Open(ctx, connect.NewRequest(&peerv1.OpenRequest{
		View: ViewToWire(&request.View),
	}))
	if err != nil {
		return archive.Reply{}, err
	}
	return replyFromWire(response.Msg.GetRefusal(), response.Msg.GetView()), nil
}

// Pull implements shard.Source. Only the caller's context bounds it.
func (c *Client) Pull(ctx context.Context, member register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	message := &peerv1.PullRequest{
		Fence:       fenceToWire(request.Fence),
		TurnsOnly:   request.TurnsOnly,
		OmitObjects: request.OmitObjects,
	}
	for _, wanted := range request.Wanted {
		message.Wanted = append(message.Wanted, &peerv1.TurnReference{
			Program: wanted.Program, Sequence: wanted.Sequence, Digest: wanted.Digest[:],
		})
	}
	stream, err := c.replica(member.Address).Pull(ctx, connect.NewRequest(message))
	if err != nil {
		return archive.Reply{}, err
	}
	defer stream.Close()
	for stream.Receive() {
		message := stream.Msg()
		if message.GetRefusal() != peerv1.Refusal_REFUSAL_UNSPECIFIED {
			return replyFromWire(message.GetRefusal(), message.GetView()), nil
		}
		if err := visitItems(message, visit); err != nil {
			return archive.Reply{}, err
		}
	}
	return archive.Reply{}, stream.Err()
}

// visitItems visits the registers and turns of one message of a pull.
func visitItems(message *peerv1.PullResponse, visit func(shard.PullItem) error) error {
	for _, stored := range message.GetRegisters() {
		item := shard.PullItem{Register: &shard.RegisterState{
			Key: stored.GetKey(),
			State: replica.Register{
				Promised: ballotFromWire(stored.GetPromised()),
				Accepted: ballotFromWire(stored.GetAccepted()),
				Value:    stored.GetValue(),
			},
		}}
		if err := visit(item); err != nil {
			return err
		}
	}
	for _, stored := range message.GetTurns() {
		turn, err := turnFromWire(stored)
		if err != nil {
			return err
		}
		if err := visit(shard.PullItem{Turn: &turn}); err != nil {
			return err
		}
	}
	return nil
}

const (
	// pullBatchItems and pullBatchBytes are the number of items and the bytes of their
	// values at which a message of a pull is sent: large enough to spread the cost of a
	// message over many items, and small enough to keep little of a shard in memory.
	pullBatchItems = 512
	pullBatchBytes = 64 << 10
)

// pullWriter sends the items of a pull in batches.
type pullWriter struct {
	stream  *connect.ServerStream[peerv1.PullResponse]
	pending *peerv1.PullResponse
	items   int
	bytes   int
}

// add adds an item to the pending message and sends the message once it is large
// enough.
func (w *pullWriter) add(item shard.PullItem) error {
	if w.pending == nil {
		w.pending = &peerv1.PullResponse{}
	}
	w.items++
	if item.Register == nil {
		w.pending.Turns = append(w.pending.Turns, turnToWire(*item.Turn))
		w.bytes += len(item.Turn.Object)
	} else {
		w.pending.Registers = append(w.pending.Registers, &peerv1.RegisterState{
			Key:      item.Register.Key,
			Promised: ballotToWire(item.Register.State.Promised),
			Accepted: ballotToWire(item.Register.State.Accepted),
			Value:    item.Register.State.Value,
		})
		w.bytes += len(item.Register.State.Value)
	}
	if w.items < pullBatchItems && w.bytes < pullBatchBytes {
		return nil
	}
	return w.flush()
}

// flush sends the pending message, if there is one.
func (w *pullWriter) flush() error {
	if w.pending == nil {
		return nil
	}
	message := w.pending
	w.pending, w.items, w.bytes = nil, 0, 0
	return w.stream.Send(message)
}

// Seal has this replica seal an epoch in favor of a successor view.
func (s *replicaServer) Seal(ctx context.Context, request *connect.Request[peerv1.SealRequest]) (*connect.Response[peerv1.SealResponse], error) {
	successor := ViewFromWire(request.Msg.GetSuccessor())
	if successor == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingView)
	}
	reply := s.replica.Seal(ctx, shard.SealRequest{
		Fence:     fenceFromWire(request.Msg.GetFence()),
		Successor: *successor,
	})
	return connect.NewResponse(&peerv1.SealResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
	}), nil
}

// Install has this replica copy a shard. Only the caller's context bounds it.
func (s *replicaServer) Install(ctx context.Context, request *connect.Request[peerv1.InstallRequest]) (*connect.Response[peerv1.InstallResponse], error) {
	previous := ViewFromWire(request.Msg.GetPrevious())
	successor := ViewFromWire(request.Msg.GetSuccessor())
	if previous == nil || successor == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingView)
	}
	reply := s.installer.Install(ctx, shard.InstallRequest{
		Previous:  *previous,
		Successor: *successor,
		TurnsOnly: request.Msg.GetTurnsOnly(),
		Backfill:  request.Msg.GetFill(),
	})
	return connect.NewResponse(&peerv1.InstallResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
	}), nil
}

// Open has this replica begin to serve a view.
func (s *replicaServer) Open(ctx context.Context, request *connect.Request[peerv1.OpenRequest]) (*connect.Response[peerv1.OpenResponse], error) {
	view := ViewFromWire(request.Msg.GetView())
	if view == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingView)
	}
	reply := s.replica.Open(ctx, shard.OpenRequest{View: *view})
	return connect.NewResponse(&peerv1.OpenResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
	}), nil
}

// Pull streams the registers and turns that this replica holds of a shard, in batches.
func (s *replicaServer) Pull(ctx context.Context, request *connect.Request[peerv1.PullRequest], stream *connect.ServerStream[peerv1.PullResponse]) error {
	pull := shard.PullRequest{
		Fence:       fenceFromWire(request.Msg.GetFence()),
		TurnsOnly:   request.Msg.GetTurnsOnly(),
		OmitObjects: request.Msg.GetOmitObjects(),
	}
	for _, wanted := range request.Msg.GetWanted() {
		digest, err := digestFromWire(wanted.GetDigest())
		if err != nil {
			return connect.NewError(connect.CodeInvalidArgument, err)
		}
		pull.Wanted = append(pull.Wanted, shard.TurnReference{
			Program: wanted.GetProgram(), Sequence: wanted.GetSequence(), Digest: digest,
		})
	}
	writer := &pullWriter{stream: stream}
	reply, err := s.replica.Pull(ctx, pull, writer.add)
	if err != nil {
		return err
	}
	if reply.Refusal == register.RefusalNone {
		return writer.flush()
	}
	return stream.Send(&peerv1.PullResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
	})
}
