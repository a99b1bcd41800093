package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// positions are a node's places on the rings.
type positions [ringCount]uint64

func ringPositions(node string) positions {
	var result positions
	for ring := range result {
		result[ring] = xxhash.Sum64String(strconv.Itoa(ring) + "/" + node)
	}
	return result
}

// A node's peers are its successors on several rings, each of which orders all
// live nodes by another hash of their names. So every node has a constant
// number of peers and is the peer of about as many, the graph is a random one,
// and the first ring alone connects every node with every other. The successors
// on the last rings are looked for in other zones.
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

// ringOrder spreads the peers in other zones among the rest, so that any three
// exchanges in a row hold one of them.
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
