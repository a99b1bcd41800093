package nodepeer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/api/peer/v1/peerv1connect"
	"github.com/marblering/marblering/transport/peer"
)

// Node handles the requests that don't concern a shard. It takes and returns the
// protocol's messages, each of which belongs to one coordination package.
type Node interface {
	peer.Exchanger
	AttemptStatus(request *peerv1.AttemptStatusRequest) *peerv1.AttemptStatusResponse
	Reserve(request *peerv1.ReserveRequest) *peerv1.ReserveResponse
	Release(request *peerv1.ReleaseRequest) *peerv1.ReleaseResponse
	Grant(request *peerv1.GrantRequest) *peerv1.GrantResponse
	FetchConfiguration(request *peerv1.FetchConfigurationRequest) *peerv1.FetchConfigurationResponse
	InstallConfiguration(request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error)
}

// NewHandler returns the handler for the internal protocol of a node that runs
// marblering serve.
func NewHandler(replica peer.Replica, installer peer.Installer, node Node, metrics *peer.Metrics) http.Handler {
	mux := http.NewServeMux()
	peer.MountReplica(mux, replica, installer, metrics)
	mux.Handle(peerv1connect.NewNodeServiceHandler(&server{node: node}, peer.HandlerOptions(metrics)...))
	return mux
}

// server implements the node service of the internal protocol.
type server struct {
	peerv1connect.UnimplementedNodeServiceHandler
	node Node
}

// Exchange handles one gossip round.
func (s *server) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return peer.HandleExchange(ctx, s.node, request)
}

// AttemptStatus reports whether an attempt is running on this node.
func (s *server) AttemptStatus(_ context.Context, request *connect.Request[peerv1.AttemptStatusRequest]) (*connect.Response[peerv1.AttemptStatusResponse], error) {
	return connect.NewResponse(s.node.AttemptStatus(request.Msg)), nil
}

// Reserve reserves engine capacity at this node's admission point.
func (s *server) Reserve(_ context.Context, request *connect.Request[peerv1.ReserveRequest]) (*connect.Response[peerv1.ReserveResponse], error) {
	return connect.NewResponse(s.node.Reserve(request.Msg)), nil
}

// Release returns reserved capacity.
func (s *server) Release(_ context.Context, request *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	return connect.NewResponse(s.node.Release(request.Msg)), nil
}

// Grant assigns a share of a tenant's rate limit.
func (s *server) Grant(_ context.Context, request *connect.Request[peerv1.GrantRequest]) (*connect.Response[peerv1.GrantResponse], error) {
	return connect.NewResponse(s.node.Grant(request.Msg)), nil
}

// FetchConfiguration returns the configuration that is newer than the version in
// the request.
func (s *server) FetchConfiguration(_ context.Context, request *connect.Request[peerv1.FetchConfigurationRequest]) (*connect.Response[peerv1.FetchConfigurationResponse], error) {
	return connect.NewResponse(s.node.FetchConfiguration(request.Msg)), nil
}

// InstallConfiguration installs configuration objects. It fails with
// connect.CodeInvalidArgument if they can't be installed.
func (s *server) InstallConfiguration(_ context.Context, request *connect.Request[peerv1.InstallConfigurationRequest]) (*connect.Response[peerv1.InstallConfigurationResponse], error) {
	response, err := s.node.InstallConfiguration(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}
