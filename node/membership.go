package node

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/transport/peer"
)

// buildMembership makes the gossip of this node and what configuration learns
// from it.
func (n *Node) buildMembership() {
	now := time.Now()
	identity := membership.Identity{
		Node:          n.settings.Name,
		Incarnation:   n.replica.Incarnation(),
		Address:       n.PeerAddress(),
		CallerAddress: n.CallerAddress(),
		Zone:          n.settings.Zone,
		HasDataFolder: n.settings.DataFolder != "",
		Started:       now,
	}
	gossip := membership.New(n.membershipSettings(), identity, addresses(n.settings.Seeds), n.newRandom(), now)
	n.membership = membership.NewService(gossip, membership.Options{
		Exchanger:            n.peers,
		Now:                  time.Now,
		Logger:               n.logger,
		Shards:               peer.NewViewGossip(n.views),
		ConfigurationVersion: n.holder.Version,
		OnNewerConfiguration: n.configurationSeen,
		OnEvent:              n.observeMembership,
	})
	n.configurationMembers = newConfigurationMembers(configuration.Member{
		Node:        identity.Node,
		Incarnation: identity.Incarnation,
		Address:     identity.Address,
		Zone:        identity.Zone,
	}, n.membership.Members, n.views)
}

// exchangesPerHeartbeat is how many exchanges a node begins in each heartbeat interval.
const exchangesPerHeartbeat = 3

// membershipSettings derives the protocol's intervals from the node's settings.
func (n *Node) membershipSettings() membership.Settings {
	derived := membership.DefaultSettings()
	derived.ExchangeInterval = n.settings.HeartbeatInterval / exchangesPerHeartbeat
	derived.ExchangeTimeout = n.settings.HeartbeatInterval
	derived.SuspicionTime = n.settings.FailureTimeout - n.settings.HeartbeatInterval
	return derived
}

// addresses returns the addresses as texts, as host:port.
func addresses(ports []netip.AddrPort) []string {
	var texts []string
	for _, port := range ports {
		texts = append(texts, port.String())
	}
	return texts
}

// observeMembership tells the fleet what other nodes saw of engines.
func (n *Node) observeMembership(event membership.Event) {
	if event.Kind == membership.EngineChanged {
		n.fleet.MarkLeaving(event.Engine, event.EngineLeaving)
	}
}

// engineLeaving tells the other nodes what this one saw of an engine.
func (n *Node) engineLeaving(engine string, leaving bool) {
	n.membership.ObserveEngine(membership.EngineReport{Engine: engine, Leaving: leaving, RequestedAt: time.Now()})
}
