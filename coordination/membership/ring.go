package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// positions holds a node's position on each hash ring.
type positions [ringCount]uint64

func ringPositions(node string) positions {
	var result positions
	for ring := range result {
		result[ring] = xxhash.Sum64String(strconv.Itoa(ring) + "/" + node)
	}
	return result
}

// rebuildPeers sets the node's peers to its successors on several rings, each of
// which orders the live nodes by a different hash of their names. Every node thus
// has a constant number of peers and is a peer of about as many, the peer graph is
// random, and a single ring over all nodes already connects it. On the last
// otherZoneRings rings, the successor is the nearest node of another zone.
func (g *Gossip) rebuildPeers() {
	g.peers = g.peers[:0]
	chosen := map[string]struct{}{}
	for _, ring := range ringOrder {
		successor := g.successor(ring)
		if successor == nil {
			continue
		}
		name := successor.status.GetNode()
		if _, found := chosen[name]; found {
			continue
		}
		chosen[name] = struct{}{}
		g.peers = append(g.peers, name)
	}
}

// ringOrder interleaves the rings over other zones with the rest, so that one of
// any three consecutive exchanges goes to another zone.
var ringOrder = [ringCount]int{anyZoneRings, 0, 1, anyZoneRings + 1, 2, 3}

func (g *Gossip) successor(ring int) *nodeRecord {
	var nearest *nodeRecord
	var nearestDistance uint64
	for _, known := range g.records {
		if known.gone() || !g.onRing(ring, known) {
			continue
		}
		distance := known.positions[ring] - g.positions[ring]
		if nearest == nil || distance < nearestDistance {
			nearest = known
			nearestDistance = distance
		}
	}
	return nearest
}

func (g *Gossip) onRing(ring int, known *nodeRecord) bool {
	return ring < anyZoneRings || known.status.GetZone() != g.self.identity.Zone
}
