package storage

import (
	"time"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/transport/peer"
)

// Gossip among storage nodes. They are few, so that a node that has failed can be noticed
// within two seconds at little cost. All are chosen, not measured.
const (
	exchangeInterval = 300 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	// suspicionTime is how long a suspected node has to prove that it is alive.
	suspicionTime = 900 * time.Millisecond
	// contactInterval is the pause between two contacts with seeds.
	contactInterval = time.Second
	syncDelay       = time.Second
	settleTime      = 3 * time.Second
)

// buildMembership makes this node's part in the gossip.
func (n *Node) buildMembership() {
	now := time.Now()
	identity := membership.Identity{
		Node: n.self.Node, Incarnation: n.self.Incarnation, Address: n.self.Address, Zone: n.self.Zone,
		HasDataFolder: true, Started: now,
	}
	gossip := membership.New(gossipSettings(), identity, n.knownAddresses(), newRandom(), now)
	n.membership = membership.NewService(gossip, membership.Options{
		Exchanger: n.peers, Now: time.Now, Logger: n.logger, Shards: peer.NewViewGossip(n.views),
	})
}

func gossipSettings() membership.Settings {
	derived := membership.DefaultSettings()
	derived.ExchangeInterval = exchangeInterval
	derived.ExchangeTimeout = exchangeTimeout
	derived.SuspicionTime = suspicionTime
	derived.ContactInterval = contactInterval
	derived.SyncDelay = syncDelay
	derived.SettleTime = settleTime
	return derived
}

// knownAddresses returns the addresses of the seeds and of the members of all known sets.
func (n *Node) knownAddresses() []string {
	var addresses []string
	for _, seed := range n.settings.Seeds {
		addresses = append(addresses, seed.String())
	}
	for _, view := range n.views.Views() {
		for _, member := range view.Members {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
