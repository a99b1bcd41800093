package membership

import (
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// suspicion is this node's doubt about one that didn't answer.
type suspicion struct {
	since time.Time
	// heartbeat is the last one known at the start; a later one is proof of
	// life.
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

// expireSuspicions declares those gone that had their time.
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

// declareGone marks the node with the heartbeat it would have by now, so that
// the mark overrides what others heard from it since; the node itself, where it
// lives, goes past it.
func (g *Gossip) declareGone(now time.Time, known *nodeRecord) {
	silent := uint64(now.Sub(known.updatedAt) / heartbeatInterval)
	heartbeat := known.status.GetHeartbeat() + silent + goneHeartbeatMargin
	g.endSuspicion(known)
	g.replace(now, known, goneStatus(known.status, heartbeat), fromNode)
}

// restartSuspicionsAfterStall restarts all suspicions after this process itself stood still:
// the answers may have been there.
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

// suspectQueries asks helpers for proof that the suspects live.
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

// answerQuery returns what is known beyond the question; where that is
// nothing, the node is probed, so that the next question finds an answer.
func (g *Gossip) answerQuery(now time.Time, question *peerv1.NodeStatus) *peerv1.NodeStatus {
	known := g.records[question.GetNode()]
	if known == nil || !isValidStatus(question) {
		return nil
	}
	if known.gone() {
		return known.status
	}
	fresh := now.Sub(known.updatedAt) <= maximumProofAge
	if fresh && known.status.GetHeartbeat() > question.GetHeartbeat() {
		return known.status
	}
	g.requestProbe(question.GetNode())
	return nil
}

// chooseHelpers picks the nodes to ask about suspects, one of them in another
// zone where there is one.
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
