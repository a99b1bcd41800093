package storage

import (
	"time"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/transport/peer"
)

// Settings of the gossip between storage nodes. There are few of them, so failures can be
// detected within two seconds at low cost.
const (
	exchangeInterval = 300 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	// suspicionTime is how long a suspected node has to refute the suspicion.
	suspicionTime = 900 * time.Millisecond
	// contactInterval is the interval between two attempts to contact seeds.
	contactInterval = time.Second
	// syncDelay is how long tables may differ before a full copy is sent.
	syncDelay = time.Second
	// settleTime is how long after its first exchange a node starts to treat unknown
	// incarnations as gone.
	settleTime = 3 * time.Second
)

// buildMembership creates the gossip service of this node.
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
	gossip := membership.DefaultSettings()
	gossip.ExchangeInterval = exchangeInterval
	gossip.ExchangeTimeout = exchangeTimeout
	gossip.SuspicionTime = suspicionTime
	gossip.RejoinInterval = contactInterval
	gossip.SyncDelay = syncDelay
	gossip.SettleTime = settleTime
	return gossip
}

// knownAddresses returns the addresses of the seeds and of the members of all known
// replica sets.
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
