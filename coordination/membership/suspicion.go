package membership

import (
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// suspicion is the state of a node that failed to respond to this node.
type suspicion struct {
	since time.Time
	// heartbeat is the last known heartbeat at the start of the suspicion; a later
	// one ends it.
	heartbeat uint64
	nextProbe time.Time
}

func (g *Gossip) suspect(now time.Time, known *nodeRecord) {
	if known.suspicion != nil || known.gone() {
		return
	}
	known.suspicion = &suspicion{
		since:     now,
		heartbeat: known.status.GetHeartbeat(),
		nextProbe: now.Add(g.settings.SuspectProbeInterval),
	}
	g.suspects[known.status.GetNode()] = known
	g.snapshotStale = true
	g.recordEvent(Event{Kind: Suspected, Member: g.member(known)})
}

func (g *Gossip) endSuspicion(known *nodeRecord) {
	if known.suspicion == nil {
		return
	}
	known.suspicion = nil
	delete(g.suspects, known.status.GetNode())
	g.snapshotStale = true
}

// expireSuspicions declares the suspects gone whose Settings.SuspicionTime is over.
func (g *Gossip) expireSuspicions(now time.Time) {
	for _, name := range sortedNames(g.suspects) {
		known := g.suspects[name]
		if known.gone() || known.suspicion == nil {
			delete(g.suspects, name)
			continue
		}
		if now.Sub(known.suspicion.since) >= g.settings.SuspicionTime {
			g.declareGone(now, known)
		}
	}
}

// declareGone marks the node as gone with a heartbeat beyond the one that it would
// have by now, so that the mark overrides what other nodes have received from it
// since. If the node is alive, it refutes the mark with a higher heartbeat.
func (g *Gossip) declareGone(now time.Time, known *nodeRecord) {
	missed := uint64(now.Sub(known.updatedAt) / heartbeatInterval)
	heartbeat := known.status.GetHeartbeat() + missed + goneHeartbeatMargin
	g.endSuspicion(known)
	g.replace(now, known, goneStatus(known.status, heartbeat), fromNode)
}

// restartSuspicionsAfterStall restarts all suspicions after this process itself was
// paused, as it may have missed responses in that time.
func (g *Gossip) restartSuspicionsAfterStall(now time.Time) {
	stalled := !g.lastStep.IsZero() && now.Sub(g.lastStep) > stallThreshold
	g.lastStep = now
	if !stalled {
		return
	}
	for _, known := range g.suspects {
		known.suspicion.since = now
		known.suspicion.nextProbe = now
	}
}

// suspectQueries returns queries about the suspects, at most maximumQueries of
// them.
func (g *Gossip) suspectQueries() []*peerv1.NodeStatus {
	var result []*peerv1.NodeStatus
	for _, name := range sortedNames(g.suspects) {
		if len(result) == maximumQueries {
			break
		}
		known := g.suspects[name]
		result = append(result, newQuery(known.status, known.suspicion.heartbeat))
	}
	g.random.Shuffle(len(result), func(i, j int) {
		result[i], result[j] = result[j], result[i]
	})
	return result
}

// answerQuery returns the status of the queried node if it is gone or has a recent
// heartbeat later than the query's. Otherwise it returns nil and probes the node,
// so that a repeated query can be answered.
func (g *Gossip) answerQuery(now time.Time, query *peerv1.NodeStatus) *peerv1.NodeStatus {
	known := g.records[query.GetNode()]
	if known == nil || !isValidStatus(query) {
		return nil
	}
	if known.gone() {
		return known.status
	}
	recent := now.Sub(known.updatedAt) <= maximumProofAge
	if recent && known.status.GetHeartbeat() > query.GetHeartbeat() {
		return known.status
	}
	g.requestProbe(query.GetNode())
	return nil
}

// chooseHelpers picks random live nodes for the indirect probes, one of them in
// another zone if possible.
func (g *Gossip) chooseHelpers() {
	g.helpers = g.helpers[:0]
	candidates := g.shuffledLive()
	for _, known := range candidates {
		if known.status.GetZone() != g.self.identity.Zone {
			g.helpers = append(g.helpers, known.status.GetNode())
			break
		}
	}
	for _, known := range candidates {
		if len(g.helpers) == helperCount {
			return
		}
		name := known.status.GetNode()
		if len(g.helpers) == 0 || g.helpers[0] != name {
			g.helpers = append(g.helpers, name)
		}
	}
}

func (g *Gossip) shuffledLive() []*nodeRecord {
	var candidates []*nodeRecord
	for _, name := range sortedNames(g.records) {
		known := g.records[name]
		if known.state() == Alive {
			candidates = append(candidates, known)
		}
	}
	g.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates
}
