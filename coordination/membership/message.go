package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// listOverhead is the size in bytes of the tag and length prefix that precede a
// message in a repeated field.
const listOverhead = 3

func (g *Gossip) compose(now time.Time, target Target) Exchange {
	g.inFlight[target.Address] = now
	request := &peerv1.ExchangeRequest{
		Sender:               g.self.status(),
		Nodes:                []*peerv1.NodeStatus{g.digestStatus()},
		ConfigurationVersion: g.self.configurationVersion,
	}
	request.Nodes = append(request.Nodes, g.suspectQueries()...)
	nodes, engines := g.updates(now)
	request.Nodes = append(request.Nodes, nodes...)
	request.Engines = engines
	return Exchange{Target: target, Request: request, started: now}
}

// responseContents returns the statuses and evidence of a response: this node's
// status, the digest, and either a full copy or the answers and pending changes.
func (g *Gossip) responseContents(now time.Time, copyNeeded bool, answers []*peerv1.NodeStatus) ([]*peerv1.NodeStatus, []*peerv1.EngineEvidence) {
	nodes := []*peerv1.NodeStatus{g.self.status(), g.digestStatus()}
	if copyNeeded {
		copied, engines, allowed := g.fullCopy(now)
		if allowed {
			return append(nodes, copied...), engines
		}
	}
	nodes = append(nodes, answers...)
	updates, engines := g.updates(now)
	return append(nodes, updates...), engines
}

// updates takes pending changes from the queue, up to the size limit of a message
// and the node's byte budget.
func (g *Gossip) updates(now time.Time) ([]*peerv1.NodeStatus, []*peerv1.EngineEvidence) {
	var nodes []*peerv1.NodeStatus
	var engines []*peerv1.EngineEvidence
	size := 0
	g.queue.take(func(about subject) (sent, more bool) {
		status, fact := g.lookUp(about)
		cost := proto.Size(status) + proto.Size(fact) + listOverhead
		if size+cost > maximumUpdateBytes || !g.updateBytes.AllowN(now, cost) {
			return false, false
		}
		size += cost
		if status != nil {
			nodes = append(nodes, status)
		}
		if fact != nil {
			engines = append(engines, fact)
		}
		return true, true
	})
	return nodes, engines
}

// lookUp returns the current status or evidence of a subject. Both are nil if the
// subject has been pruned; its update then still counts as a transmission.
func (g *Gossip) lookUp(about subject) (*peerv1.NodeStatus, *peerv1.EngineEvidence) {
	if about.node == "" {
		key := evidenceKey{engine: about.engine, observer: about.observer}
		return nil, g.evidence[key].fact
	}
	if about.node == g.self.identity.Node {
		return g.self.status(), nil
	}
	known := g.records[about.node]
	if known == nil {
		return nil, nil
	}
	return toWire(known.status), nil
}

// toWire reduces the status of a gone node to the fields that goneStatus sets.
func toWire(status *peerv1.NodeStatus) *peerv1.NodeStatus {
	if !status.GetGone() {
		return status
	}
	return goneStatus(status, status.GetHeartbeat())
}

// fullCopy returns the statuses of all other nodes and the shared evidence, or
// false if the byte budget doesn't allow it.
func (g *Gossip) fullCopy(now time.Time) ([]*peerv1.NodeStatus, []*peerv1.EngineEvidence, bool) {
	var nodes []*peerv1.NodeStatus
	var engines []*peerv1.EngineEvidence
	size := 0
	for _, name := range sortedNames(g.records) {
		known := g.records[name]
		status := toWire(known.status)
		nodes = append(nodes, status)
		size += proto.Size(status) + listOverhead
	}
	for key, entry := range g.evidence {
		// Includes withdrawn evidence, which the receiver may still hold.
		if key.shared() {
			engines = append(engines, entry.fact)
			size += proto.Size(entry.fact) + listOverhead
		}
	}
	// The limiter never allows more than the burst, so a larger copy costs that.
	cost := min(size, syncByteBurst)
	if !g.syncBytes.AllowN(now, cost) {
		return nil, nil, false
	}
	return nodes, engines, true
}
