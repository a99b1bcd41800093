package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// maxMessageBytes is the size of the largest message that a node accepts. It leaves room
// beyond the largest turn.
const maxMessageBytes = 20 << 20

// Replica is this node's replica of the shards that it is a member of.
type Replica interface {
	Prepare(ctx context.Context, request register.PrepareRequest) register.PrepareReply
	Accept(ctx context.Context, request register.AcceptRequest) register.AcceptReply
	Peek(fence register.Fence, key string) ([]byte, register.Refusal)
	CheckRequest(fence register.Fence) register.Refusal
	PutTurn(ctx context.Context, fence register.Fence, turn replica.Turn) archive.Reply
	ReadTurns(ctx context.Context, fence register.Fence, program string, from uint64, visit func(replica.Turn) error) (archive.Reply, error)
	Seal(ctx context.Context, request shard.SealRequest) archive.Reply
	Open(ctx context.Context, request shard.OpenRequest) archive.Reply
	Pull(ctx context.Context, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error)
}

// Installer copies shards from other members to this node's replica.
type Installer interface {
	Install(ctx context.Context, request shard.InstallRequest) archive.Reply
}

// HandlerOptions returns the options of a node's handlers: the limit on the size of
// messages, and the metrics.
func HandlerOptions(metrics *Metrics) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithInterceptors(metrics),
	}
}

func (s *replicaServer) readMany(ctx context.Context, request *peerv1.ReadManyRequest) (*peerv1.ReadManyResponse, error) {
	fence := fenceFromWire(request.GetFence())
	response := &peerv1.ReadManyResponse{}
	for _, program := range request.GetPrograms() {
		reply, err := s.replica.ReadTurns(ctx, fence, program, 0, func(turn replica.Turn) error {
			response.Turns = append(response.Turns, turnToWire(turn))
			return nil
		})
		if err != nil {
			return nil, err
		}
		if reply.Refusal != register.RefusalNone {
			return &peerv1.ReadManyResponse{Refusal: peerv1.Refusal(reply.Refusal), View: ViewToWire(reply.View)}, nil
		}
	}
	return response, nil
}

// Exchanger answers rounds of membership gossip.
type Exchanger interface {
	Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// StorageHandler is the handler of a storage node.
type StorageHandler struct {
	http.Handler
	calls *callServer
}

// CallsUnderWay returns the number of calls under way by kind: those that run or whose
// answers aren't written. It is empty if there are none.
func (h *StorageHandler) CallsUnderWay() map[string]int64 { return h.calls.tracker.underWay() }

// Drain refuses new calls and waits until the answers to those under way are written, or
// until the context ends. It returns the calls that are still under way by kind.
func (h *StorageHandler) Drain(ctx context.Context) map[string]int64 {
	return h.calls.tracker.drain(ctx)
}

// NewStorageHandler returns the handler of a storage node. It serves requests to the
// replica, membership gossip, the budgets of programs, the origins of streams, the quotas
// of tenants, the crashes under requests and the node's copies of the store's objects.
func NewStorageHandler(replica Replica, installer Installer, membership Exchanger, budgets BudgetHost, origins StreamOrigins, quotas QuotaHolder, crashes Crashes, mirror Mirror, metrics *Metrics) *StorageHandler {
	mux := http.NewServeMux()
	calls := &callServer{budgets: &budgetServer{host: budgets, origins: origins}, origins: origins, quotas: quotas, metrics: metrics}
	mountReplica(mux, replica, installer, calls)
	options := HandlerOptions(metrics)
	mux.Handle(peerv1connect.NewNodeServiceHandler(&exchangeServer{membership: membership}, options...))
	mux.Handle(peerv1connect.NewCrashServiceHandler(&crashServer{crashes: crashes}, options...))
	mux.Handle(peerv1connect.NewMirrorServiceHandler(&mirrorServer{mirror: mirror}, options...))
	return &StorageHandler{Handler: mux, calls: calls}
}

// MountReplica registers the handlers for the replica of a node that has neither
// budgets nor quotas.
func MountReplica(mux *http.ServeMux, replica Replica, installer Installer, metrics *Metrics) {
	mountReplica(mux, replica, installer, &callServer{metrics: metrics})
}

// mountReplica registers the handlers for requests to the replica: single requests and
// streams of calls.
func mountReplica(mux *http.ServeMux, replica Replica, installer Installer, calls *callServer) {
	calls.replica = &replicaServer{replica: replica, installer: installer}
	mux.Handle(peerv1connect.NewReplicaServiceHandler(calls.replica, HandlerOptions(calls.metrics)...))
	mux.Handle(peerv1connect.NewCallServiceHandler(calls, connect.WithReadMaxBytes(maxMessageBytes)))
}

// exchangeServer serves membership gossip and no other request of the node service.
type exchangeServer struct {
	peerv1connect.UnimplementedNodeServiceHandler
	membership Exchanger
}

// Exchange serves one round of gossip.
func (s *exchangeServer) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return HandleExchange(ctx, s.membership, request)
}

// HandleExchange passes a round of gossip on to the membership. An exchange that the
// membership rejects fails with connect.CodeFailedPrecondition.
func HandleExchange(ctx context.Context, membership Exchanger, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	response, err := membership.Exchange(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(response), nil
}

type replicaServer struct {
	peerv1connect.UnimplementedReplicaServiceHandler
	replica   Replica
	installer Installer
}

func (s *replicaServer) prepare(ctx context.Context, request *peerv1.PrepareRequest) *peerv1.PrepareResponse {
	reply := s.replica.Prepare(ctx, register.PrepareRequest{
		Fence:  fenceFromWire(request.GetFence()),
		Key:    request.GetKey(),
		Ballot: ballotFromWire(request.GetBallot()),
	})
	return &peerv1.PrepareResponse{
		Refusal:              peerv1.Refusal(reply.Refusal),
		Promised:             ballotToWire(reply.Promised),
		Accepted:             ballotToWire(reply.Accepted),
		Value:                reply.Value,
		View:                 ViewToWire(reply.View),
		ConfigurationVersion: reply.ConfigurationVersion,
	}
}

func (s *replicaServer) accept(ctx context.Context, request *peerv1.AcceptRequest) *peerv1.AcceptResponse {
	reply := s.replica.Accept(ctx, register.AcceptRequest{
		Fence:  fenceFromWire(request.GetFence()),
		Key:    request.GetKey(),
		Ballot: ballotFromWire(request.GetBallot()),
		Value:  request.GetValue(),
		Next:   ballotFromWire(request.GetNext()),
	})
	return &peerv1.AcceptResponse{
		Refusal:              peerv1.Refusal(reply.Refusal),
		Promised:             ballotToWire(reply.Promised),
		View:                 ViewToWire(reply.View),
		ConfigurationVersion: reply.ConfigurationVersion,
	}
}

// Peek returns this replica's copy of a register, which may be out of date.
func (s *replicaServer) Peek(_ context.Context, request *connect.Request[peerv1.PeekRequest]) (*connect.Response[peerv1.PeekResponse], error) {
	value, refusal := s.replica.Peek(fenceFromWire(request.Msg.GetFence()), request.Msg.GetKey())
	return connect.NewResponse(&peerv1.PeekResponse{Refusal: peerv1.Refusal(refusal), Value: value}), nil
}

func (s *replicaServer) putTurn(ctx context.Context, request *peerv1.PutTurnRequest) (*peerv1.PutTurnResponse, error) {
	digest, err := digestFromWire(request.GetDigest())
	if err != nil {
		return nil, err
	}
	reply := s.replica.PutTurn(ctx, fenceFromWire(request.GetFence()), replica.Turn{
		Program:  request.GetProgram(),
		Sequence: request.GetSequence(),
		Digest:   digest,
		Object:   request.GetObject(),
	})
	return &peerv1.PutTurnResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
		Missing: reply.Missing,
	}, nil
}

// ReadTurns streams the turns of a program.
func (s *replicaServer) ReadTurns(ctx context.Context, request *connect.Request[peerv1.ReadTurnsRequest], stream *connect.ServerStream[peerv1.ReadTurnsResponse]) error {
	fence := fenceFromWire(request.Msg.GetFence())
	reply, err := s.replica.ReadTurns(ctx, fence, request.Msg.GetProgram(), request.Msg.GetFromSequence(), func(turn replica.Turn) error {
		return stream.Send(&peerv1.ReadTurnsResponse{Turn: turnToWire(turn)})
	})
	if err != nil {
		return err
	}
	if reply.Refusal == register.RefusalNone {
		return nil
	}
	return stream.Send(&peerv1.ReadTurnsResponse{
		Refusal: peerv1.Refusal(reply.Refusal),
		View:    ViewToWire(reply.View),
	})
}
