package node

import (
	"context"
	"strings"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/transport/peer"
)

// identitySeparator stands between the replica's incarnation and the id of one
// life of the process. A node with a data folder keeps its incarnation over a
// restart, but an attempt that its former process ran is lost all the same.
const identitySeparator = "/"

// liveness implements execution.Liveness by membership.
type liveness struct {
	members func() *membership.Members
}

// Gone implements execution.Liveness.
func (l liveness) Gone(executor string) bool {
	incarnation, _, _ := strings.Cut(executor, identitySeparator)
	return l.members().Gone(incarnation)
}

// peerNode answers the node service of the internal protocol.
type peerNode struct {
	identity   string
	membership *membership.Service
	executor   *execution.Executor
	holder     *configuration.Holder
	limits     *limits
}

var _ peer.Node = (*peerNode)(nil)

// Exchange implements peer.Node.
func (p *peerNode) Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return p.membership.Exchange(ctx, request)
}

// AttemptStatus implements peer.Node.
func (p *peerNode) AttemptStatus(request *peerv1.AttemptStatusRequest) *peerv1.AttemptStatusResponse {
	if request.GetExecutor() != p.identity {
		return &peerv1.AttemptStatusResponse{OtherIncarnation: true}
	}
	return &peerv1.AttemptStatusResponse{
		Running: p.executor.Running(request.GetProgram(), request.GetSequence(), request.GetAttempt()),
	}
}

// FetchConfiguration implements peer.Node.
func (p *peerNode) FetchConfiguration(request *peerv1.FetchConfigurationRequest) *peerv1.FetchConfigurationResponse {
	snapshot := p.holder.Current()
	response := &peerv1.FetchConfigurationResponse{Version: snapshot.Version()}
	for _, object := range snapshot.Objects(request.GetKnownVersion()) {
		response.Objects = append(response.Objects, objectToWire(object))
	}
	return response
}

// InstallConfiguration implements peer.Node.
func (p *peerNode) InstallConfiguration(request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error) {
	var objects []configuration.Object
	for _, object := range request.GetObjects() {
		objects = append(objects, objectFromWire(object))
	}
	if request.GetBaseVersion() <= p.holder.Version() {
		next, err := p.holder.Current().Apply(request.GetVersion(), objects)
		if err != nil {
			return nil, err
		}
		p.holder.Move(next)
	}
	return &peerv1.InstallConfigurationResponse{Version: p.holder.Version(), Incarnation: p.identity}, nil
}

func objectToWire(object configuration.Object) *peerv1.ConfigurationObject {
	return &peerv1.ConfigurationObject{
		Kind:    string(object.Kind),
		Name:    object.Name,
		Version: object.Version,
		Body:    object.Body,
		Deleted: object.Deleted,
	}
}

func objectFromWire(object *peerv1.ConfigurationObject) configuration.Object {
	return configuration.Object{
		Key:     configuration.Key{Kind: configuration.Kind(object.GetKind()), Name: object.GetName()},
		Version: object.GetVersion(),
		Body:    object.GetBody(),
		Deleted: object.GetDeleted(),
	}
}
