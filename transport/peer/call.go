package peer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// errCallFailed is returned where the peer answered with a failure. The call may have
// had its effect.
var errCallFailed = merry.Sentinel("the peer failed to serve the call")

// call sends a call over the link to the address and waits for its answer, for the
// client's timeout at most.
func (c *Client) call(ctx context.Context, address string, call *peerv1.Call) (*peerv1.Answer, error) {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	start := time.Now()
	if deadline, bounded := ctx.Deadline(); bounded {
		call.TimeoutMs = max(deadline.Sub(start).Milliseconds(), 1)
	}
	answer, err := c.link(address).call(ctx, call)
	c.metrics.observeCall(sideClient, call, answer, time.Since(start))
	if err != nil {
		return nil, err
	}
	if failure, failed := answer.GetResponse().(*peerv1.Answer_Failure); failed {
		return nil, merry.Wrap(errCallFailed, merry.AppendMessage(failure.Failure))
	}
	return answer, nil
}

// Prepare implements register.Transport.
func (c *Client) Prepare(ctx context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	answer, err := c.call(ctx, member.Address, &peerv1.Call{Request: &peerv1.Call_Prepare{Prepare: &peerv1.PrepareRequest{
		Fence:  fenceToWire(request.Fence),
		Key:    request.Key,
		Ballot: ballotToWire(request.Ballot),
	}}})
	if err != nil {
		return register.PrepareReply{}, err
	}
	message := answer.GetPrepare()
	return register.PrepareReply{
		Refusal:              register.Refusal(message.GetRefusal()),
		Promised:             ballotFromWire(message.GetPromised()),
		Accepted:             ballotFromWire(message.GetAccepted()),
		Value:                message.GetValue(),
		View:                 ViewFromWire(message.GetView()),
		ConfigurationVersion: message.GetConfigurationVersion(),
	}, nil
}

// Accept implements register.Transport.
func (c *Client) Accept(ctx context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	answer, err := c.call(ctx, member.Address, &peerv1.Call{Request: &peerv1.Call_Accept{Accept: &peerv1.AcceptRequest{
		Fence:  fenceToWire(request.Fence),
		Key:    request.Key,
		Ballot: ballotToWire(request.Ballot),
		Value:  request.Value,
		Next:   ballotToWire(request.Next),
	}}})
	if err != nil {
		return register.AcceptReply{}, err
	}
	message := answer.GetAccept()
	return register.AcceptReply{
		Refusal:              register.Refusal(message.GetRefusal()),
		Promised:             ballotFromWire(message.GetPromised()),
		View:                 ViewFromWire(message.GetView()),
		ConfigurationVersion: message.GetConfigurationVersion(),
	}, nil
}

// PutTurn implements archive.Replicas.
func (c *Client) PutTurn(ctx context.Context, member register.Member, fence register.Fence, turn replica.Turn) (archive.Reply, error) {
	answer, err := c.call(ctx, member.Address, &peerv1.Call{Request: &peerv1.Call_PutTurn{PutTurn: &peerv1.PutTurnRequest{
		Fence:    fenceToWire(fence),
		Program:  turn.Program,
		Sequence: turn.Sequence,
		Digest:   turn.Digest[:],
		Object:   turn.Object,
	}}})
	if err != nil {
		return archive.Reply{}, err
	}
	reply := replyFromWire(answer.GetPutTurn().GetRefusal(), answer.GetPutTurn().GetView())
	reply.Missing = answer.GetPutTurn().GetMissing()
	return reply, nil
}

// ReadMany implements turnstore.Replicas.
func (c *Client) ReadMany(ctx context.Context, member register.Member, fence register.Fence, programs []string) ([]replica.Turn, archive.Reply, error) {
	answer, err := c.call(ctx, member.Address, &peerv1.Call{Request: &peerv1.Call_ReadMany{ReadMany: &peerv1.ReadManyRequest{
		Fence: fenceToWire(fence), Programs: programs,
	}}})
	if err != nil {
		return nil, archive.Reply{}, err
	}
	var turns []replica.Turn
	for _, stored := range answer.GetReadMany().GetTurns() {
		turn, err := turnFromWire(stored)
		if err != nil {
			return nil, archive.Reply{}, err
		}
		turns = append(turns, turn)
	}
	return turns, replyFromWire(answer.GetReadMany().GetRefusal(), answer.GetReadMany().GetView()), nil
}
