package nodepeer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/transport/peer"
)

// Node answers what isn't about a shard. The messages are those of the wire:
// each of them is owned by one coordination package.
type Node interface {
	peer.Exchanger
	AttemptStatus(request *peerv1.AttemptStatusRequest) *peerv1.AttemptStatusResponse
	Reserve(request *peerv1.ReserveRequest) *peerv1.ReserveResponse
	Release(request *peerv1.ReleaseRequest) *peerv1.ReleaseResponse
	Grant(request *peerv1.GrantRequest) *peerv1.GrantResponse
	FetchConfiguration(request *peerv1.FetchConfigurationRequest) *peerv1.FetchConfigurationResponse
	InstallConfiguration(request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error)
}

// NewHandler serves the internal protocol of a node of marblering serve.
func NewHandler(replica peer.Replica, installer peer.Installer, node Node, metrics *peer.Metrics) http.Handler {
	mux := http.NewServeMux()
	peer.MountReplica(mux, replica, installer, metrics)
	mux.Handle(peerv1connect.NewNodeServiceHandler(&server{node: node}, peer.HandlerOptions(metrics)...))
	return mux
}

// server serves the node service of the internal protocol.
type server struct {
	peerv1connect.UnimplementedNodeServiceHandler
	node Node
}

// Exchange serves one round of gossip.
func (s *server) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return peer.HandleExchange(ctx, s.node, request)
}

// AttemptStatus tells whether an attempt runs here.
func (s *server) AttemptStatus(_ context.Context, request *connect.Request[peerv1.AttemptStatusRequest]) (*connect.Response[peerv1.AttemptStatusResponse], error) {
	return connect.NewResponse(s.node.AttemptStatus(request.Msg)), nil
}

// Reserve takes room at this node's admission point.
func (s *server) Reserve(_ context.Context, request *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	return connect.NewResponse(s.node.Reserve(request.Msg)), nil
}

// Release gives the room back.
func (s *server) Release(_ context.Context, request *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	return connect.NewResponse(s.node.Release(request.Msg)), nil
}

// Grant gives a slice of a tenant's rate.
func (s *server) Grant(_ context.Context, request *connect.Request[peerv1.GrantRequest]) (*connect.Response[peerv1.GrantResponse], error) {
	return connect.NewResponse(s.node.Grant(request.Msg)), nil
}

// FetchConfiguration returns what is newer than the known version.
func (s *server) FetchConfiguration(_ context.Context, request *connect.Request[peerv1.FetchConfigurationRequest]) (*connect.Response[peerv1.FetchConfigurationResponse], error) {
	return connect.NewResponse(s.node.FetchConfiguration(request.Msg)), nil
}

// InstallConfiguration takes configuration objects. Objects that can't be installed fail with
// connect.CodeInvalidArgument.
func (s *server) InstallConfiguration(_ context.Context, request *connect.Request[peerv1.InstallConfigurationRequest]) (*connect.Response[peerv1.InstallConfigurationResponse], error) {
	response, err := s.node.InstallConfiguration(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}
