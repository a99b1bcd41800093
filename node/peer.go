package node

import (
	"context"
	"strings"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/transport/nodepeer"
)

// identitySeparator stands between the incarnation of the replica and the id of one
// life of the process. A node with a data folder keeps its incarnation over a
// restart, but the attempts that the former process ran are lost.
const identitySeparator = "/"

// liveness implements execution.Liveness with the membership.
type liveness struct {
	members func() *membership.Members
}

// Gone implements execution.Liveness.
func (l liveness) Gone(executor string) bool {
	incarnation, _, _ := strings.Cut(executor, identitySeparator)
	return l.members().Gone(incarnation)
}

// peerNode answers the node service of the protocol between nodes.
type peerNode struct {
	identity   string
	membership *membership.Service
	executor   *execution.Executor
	agent      *configuration.Agent
	limits     *limits
}

var _ nodepeer.Node = (*peerNode)(nil)

// Exchange implements nodepeer.Node.
func (p *peerNode) Exchange(ctx context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return p.membership.Exchange(ctx, request)
}

// AttemptStatus implements nodepeer.Node.
func (p *peerNode) AttemptStatus(request *peerv1.AttemptStatusRequest) *peerv1.AttemptStatusResponse {
	if request.GetExecutor() != p.identity {
		return &peerv1.AttemptStatusResponse{OtherIncarnation: true}
	}
	return &peerv1.AttemptStatusResponse{
		Running: p.executor.Running(request.GetProgram(), request.GetSequence(), request.GetAttempt()),
	}
}

// FetchConfiguration implements nodepeer.Node.
func (p *peerNode) FetchConfiguration(request *peerv1.FetchConfigurationRequest) *peerv1.FetchConfigurationResponse {
	update := p.agent.Fetch(request.GetKnownVersion())
	return &peerv1.FetchConfigurationResponse{
		Version:  update.Version,
		Objects:  objectsToWire(update),
		Complete: update.Complete,
	}
}

// InstallConfiguration implements nodepeer.Node.
func (p *peerNode) InstallConfiguration(request *peerv1.InstallConfigurationRequest) (*peerv1.InstallConfigurationResponse, error) {
	installed, err := p.agent.Install(installFromWire(request))
	if err != nil {
		return nil, err
	}
	return &peerv1.InstallConfigurationResponse{Version: installed.Version, Incarnation: installed.Incarnation}, nil
}
