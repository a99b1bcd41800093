package node

import (
	"sync"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/repair"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/protocol/objectapi"
)

// buildConfiguration makes the agent that keeps the configuration in force at this
// node, and the acceptor of operators' commands.
func (n *Node) buildConfiguration(platform *objectapi.Client) error {
	options := configuration.AgentOptions{
		Platform: objectapi.NewPlatform(platform, watchSilence),
		Peers:    &configurationPeers{client: n.peers},
		Members:  n.configurationMembers,
		Holder:   n.holder,
		Logger:   n.logger,
		Random:   n.newRandom(),
		Hold:     n.replica.PersistConfigurationVersion,
		Settings: configuration.Settings{
			ReadersPerZone: readersPerZone,
			PeerTimeout:    n.settings.PeerTimeout,
			StoreTimeout:   n.settings.ObjectAPITimeout,
		},
	}
	if n.settings.DataFolder != "" {
		options.Archive = configuration.NewFileArchive(n.settings.DataFolder)
	}
	agent, err := configuration.NewAgent(options)
	if err != nil {
		return err
	}
	n.agent = agent
	n.acceptor = configuration.NewAcceptor(configuration.AcceptorOptions{Agent: agent})
	return nil
}

// configurationSeen notes which configuration the node at the address has.
// Membership calls it when it hears of one.
func (n *Node) configurationSeen(address string, version uint64) {
	n.configurationMembers.heard(address, version)
	n.agent.LearnVersion(version)
}

// configurationMembers implements configuration.Members with the membership and
// the shard map.
type configurationMembers struct {
	self    configuration.Member
	members func() *membership.Members
	views   *shard.Map

	mutex sync.Mutex
	// versions holds the configuration version last heard from each address.
	versions map[string]uint64
}

var _ configuration.Members = (*configurationMembers)(nil)

func newConfigurationMembers(self configuration.Member, members func() *membership.Members, views *shard.Map) *configurationMembers {
	return &configurationMembers{self: self, members: members, views: views, versions: make(map[string]uint64)}
}

// heard notes the version of the node at the address.
func (c *configurationMembers) heard(address string, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions[address] = max(c.versions[address], version)
}

// Self implements configuration.Members.
func (c *configurationMembers) Self() configuration.Peer {
	member, _ := c.members().Node(c.self.Node)
	return configuration.Peer{Member: c.self, Leaving: member.Leaving}
}

// Live implements configuration.Members. It forgets what was heard from addresses
// that are gone.
func (c *configurationMembers) Live() []configuration.Peer {
	live := c.members().Live()
	peers := make([]configuration.Peer, 0, len(live))
	versions := make(map[string]uint64, len(live))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, member := range live {
		version, found := c.versions[member.Address]
		if found {
			versions[member.Address] = version
		}
		peers = append(peers, configuration.Peer{
			Member:  configuration.Member(repair.RegisterMember(member)),
			Leaving: member.Leaving,
			Version: version,
		})
	}
	c.versions = versions
	return peers
}

// ReplicaSets implements configuration.Members.
func (c *configurationMembers) ReplicaSets() configuration.ReplicaSets {
	sets := configuration.ReplicaSets{Digest: c.views.Digest()}
	for _, view := range c.views.Views() {
		set := configuration.ReplicaSet{Shard: view.Shard}
		for _, member := range view.Members {
			set.Members = append(set.Members, configuration.Member(member))
		}
		sets.Sets = append(sets.Sets, set)
	}
	return sets
}

// announceConfiguration tells the peers of a new version at once.
func (n *Node) announceConfiguration() {
	n.membership.NotifyConfigurationChange()
	n.logger.Debug("configuration announced", zap.Uint64("version", n.holder.Version()))
}
