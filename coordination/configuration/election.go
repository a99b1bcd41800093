package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// isReader tells whether the node is among the first count nodes of its zone
// that watch the object API. The order is by rendezvous hashing (Thaler and
// Ravishankar, 1998) over the live nodes that aren't leaving. Nodes that see
// different lists may disagree: the answer is a hint that bounds load, nothing
// more.
func isReader(self Peer, live []Peer, count int) bool {
	if self.Leaving {
		return false
	}
	own := readerScore(self)
	better := 0
	for _, peer := range live {
		if peer.Node == self.Node || peer.Zone != self.Zone || peer.Leaving {
			continue
		}
		score := readerScore(peer)
		if cmp.Or(cmp.Compare(score, own), cmp.Compare(peer.Node, self.Node)) > 0 {
			better++
		}
	}
	return better < count
}

func readerScore(peer Peer) uint64 {
	return xxhash.Sum64String("configuration reader\x00" + peer.Zone + "\x00" + peer.Node)
}

// others returns the live nodes but this one.
func others(self Peer, live []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(live), func(peer Peer) bool {
		return peer.Node == self.Node
	})
}
