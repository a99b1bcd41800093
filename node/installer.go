package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/transport/peer"
)

// configuredInstaller makes a new member of a replica set learn the configuration
// that the sealed set knows, before the member says that it is installed. A change
// of the configuration counts as accepted once a majority of each set knows it. A
// new member that knew less could be part of a majority that grants changes
// decided under the older configuration.
type configuredInstaller struct {
	installer   *shard.Installer
	incarnation string
	peers       configuration.Peers
	agent       *configuration.Agent
	logger      *zap.Logger
}

var _ peer.Installer = (*configuredInstaller)(nil)

// Install implements peer.Installer. The copying ends the previous epoch at a
// majority. What a majority of its members knows afterwards includes every version
// that was accepted in that epoch.
func (c *configuredInstaller) Install(ctx context.Context, request shard.InstallRequest) archive.Reply {
	reply := c.installer.Install(ctx, request)
	if reply.Refusal != register.RefusalNone || request.TurnsOnly {
		return reply
	}
	learned := 0
	for _, member := range request.Previous.Members {
		if c.learnFrom(ctx, member) {
			learned++
		}
	}
	if learned < request.Previous.Quorum() {
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	return reply
}

// learnFrom installs what the member's node knows beyond this one, and tells
// whether that succeeded.
func (c *configuredInstaller) learnFrom(ctx context.Context, member register.Member) bool {
	if member.Incarnation == c.incarnation {
		return true
	}
	known := c.agent.Holder().Version()
	update, err := c.peers.Fetch(ctx, configuration.Member(member), known)
	if err == nil && update.Version > known {
		_, err = c.agent.Install(update)
	}
	if err != nil {
		c.logger.Warn("configuration of a former member not learned", zap.String("member", member.Node), zap.Error(err))
	}
	return err == nil
}

// newConfiguredInstaller makes the installer that other nodes ask for new members.
func (n *Node) newConfiguredInstaller() *configuredInstaller {
	return &configuredInstaller{
		installer:   n.installer,
		incarnation: n.replica.Incarnation(),
		peers:       &configurationPeers{client: n.peers},
		agent:       n.agent,
		logger:      n.logger,
	}
}
