package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// nodeRecord holds the latest known status of another node.
type nodeRecord struct {
	// status must not be modified, as messages share it.
	status    *peerv1.NodeStatus
	positions positions
	// updatedAt is when the status was last replaced by a newer one,
	// directContactAt when the node itself last sent a request or response.
	updatedAt       time.Time
	directContactAt time.Time
	lastProbe       time.Time
	goneSince       time.Time
	suspicion       *suspicion
	// differsSince is when the node's table began to differ from this node's, or
	// zero while they are equal.
	differsSince time.Time
}

func (r *nodeRecord) gone() bool { return r.status.GetGone() }

func (r *nodeRecord) state() State {
	if r.gone() {
		return Gone
	}
	if r.suspicion != nil {
		return Suspect
	}
	return Alive
}

func (r *nodeRecord) target() Target {
	return Target{
		Node:        r.status.GetNode(),
		Incarnation: r.status.GetIncarnation(),
		Address:     r.status.GetAddress(),
	}
}

// origin is the way in which a status was received.
type origin uint8

const (
	// fromNode is a status that the node sent itself.
	fromNode origin = iota
	// fromUpdate is a piggybacked change.
	fromUpdate
	// fromCopy is an entry of a full copy.
	fromCopy
)

// merge merges one full status into the table.
func (g *Gossip) merge(now time.Time, status *peerv1.NodeStatus, from origin) {
	if !isValidStatus(status) {
		return
	}
	if status.GetNode() == g.self.identity.Node {
		g.handleClaim(now, status)
		return
	}
	known := g.records[status.GetNode()]
	if known == nil {
		g.insert(now, status, from)
		return
	}
	if from == fromUpdate && !needsDissemination(known.status, status) {
		g.queue.countDuplicate(subject{node: status.GetNode()})
	}
	if supersedes(status, known.status) {
		g.replace(now, known, status, from)
	} else if status.GetGone() && !known.gone() {
		// Another node declared it gone on older information: check again.
		g.requestProbe(status.GetNode())
	}
	if from == fromNode {
		g.confirmAlive(now, known, status.GetIncarnation())
	}
}

// confirmAlive ends the suspicion of the incarnation after direct contact with it.
func (g *Gossip) confirmAlive(now time.Time, known *nodeRecord, incarnation string) {
	if incarnation == known.status.GetIncarnation() && !known.gone() {
		known.directContactAt = now
		g.endSuspicion(known)
	}
}

// insert adds the first known status of a node.
func (g *Gossip) insert(now time.Time, status *peerv1.NodeStatus, from origin) {
	if len(g.records) >= maximumNodes {
		return
	}
	known := &nodeRecord{
		status:    status,
		positions: ringPositions(status.GetNode()),
		updatedAt: now,
	}
	if from == fromNode {
		known.directContactAt = now
	}
	g.records[status.GetNode()] = known
	delete(g.endedIncarnations, status.GetIncarnation())
	g.invalidate()
	if status.GetGone() {
		known.goneSince = now
		return
	}
	g.recordEvent(Event{Kind: Joined, Member: g.member(known)})
	if from != fromCopy || g.settled {
		g.disseminate(status, from)
	}
}

func (g *Gossip) replace(now time.Time, known *nodeRecord, status *peerv1.NodeStatus, from origin) {
	previous := known.status
	wasGone := previous.GetGone()
	changed := needsDissemination(previous, status)
	if status.GetGone() && status.GetAddress() == "" {
		status = withKnownLocation(status, previous)
	}
	known.status = status
	known.updatedAt = now
	// Also for a node that is gone: each of the suspects has a suspicion.
	g.endSuspicion(known)
	if !changed {
		return
	}
	if status.GetIncarnation() != previous.GetIncarnation() {
		g.recordEnded(now, previous.GetIncarnation())
	}
	delete(g.endedIncarnations, status.GetIncarnation())
	g.invalidate()
	if status.GetGone() {
		known.goneSince = now
	}
	g.recordChange(known, wasGone, previous)
	g.disseminate(status, from)
}

func (g *Gossip) recordChange(known *nodeRecord, wasGone bool, previous *peerv1.NodeStatus) {
	member := g.member(known)
	switch {
	case member.State == Gone:
		g.recordEvent(Event{Kind: Left, Member: member})
	case wasGone || previous.GetIncarnation() != member.Incarnation:
		g.recordEvent(Event{Kind: Joined, Member: member})
	case member.Leaving && !previous.GetLeaving():
		g.recordEvent(Event{Kind: Leaving, Member: member})
	}
}

// disseminate queues a change for the next messages; a leaving mark is sent to all
// peers immediately.
func (g *Gossip) disseminate(status *peerv1.NodeStatus, from origin) {
	sends := transmissionLimit(len(g.records) + 1)
	if from == fromCopy {
		sends = min(sends, fullCopyTransmissions)
	}
	level := priorityAlive
	if status.GetGone() {
		level = priorityGone
	} else if status.GetLeaving() {
		level = priorityLeaving
		g.queueUrgent()
	}
	g.queue.add(subject{node: status.GetNode()}, level, sends)
}

// handleClaim refutes a status of this node from another node where that would
// supersede its own.
func (g *Gossip) handleClaim(now time.Time, claim *peerv1.NodeStatus) {
	foreign := claim.GetIncarnation() != g.self.identity.Incarnation
	if g.self.gone || !supersedes(claim, g.self.status()) {
		if foreign {
			g.recordEnded(now, claim.GetIncarnation())
		}
		return
	}
	if foreign {
		if _, found := g.refuted[claim.GetIncarnation()]; found {
			// Still claimed after a refutation: another process uses this name.
			g.recordEvent(Event{Kind: NameTaken, Member: g.selfMember()})
			return
		}
		g.refuted[claim.GetIncarnation()] = struct{}{}
	}
	if g.self.refute(claim) {
		g.invalidate()
		g.disseminate(g.self.status(), fromNode)
	}
}

// recordEnded records that an incarnation was replaced or pruned, so that it is
// still reported as gone.
func (g *Gossip) recordEnded(now time.Time, incarnation string) {
	if _, found := g.endedIncarnations[incarnation]; !found {
		g.snapshotStale = true
	}
	g.endedIncarnations[incarnation] = now
}

// invalidate marks everything derived from the records as outdated.
func (g *Gossip) invalidate() {
	g.snapshotStale = true
	g.peersStale = true
	g.digest = 0
}

// tableDigest returns the same value on all nodes that know the same live nodes
// and leaving engines.
func (g *Gossip) tableDigest() uint64 {
	if g.digest != 0 {
		return g.digest
	}
	digest := statusDigest(g.self.status())
	for _, known := range g.records {
		if !known.gone() {
			digest ^= statusDigest(known.status)
		}
	}
	digest ^= g.evidenceDigest()
	if digest == 0 {
		digest = 1
	}
	g.digest = digest
	return digest
}

func statusDigest(status *peerv1.NodeStatus) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(status.GetNode())
	_, _ = hash.WriteString("/")
	_, _ = hash.WriteString(status.GetIncarnation())
	writeNumber(hash, uint64(status.GetStartedUnixMs()))
	if status.GetLeaving() {
		writeNumber(hash, 1)
	}
	return hash.Sum64()
}

// prune removes gone nodes, ended incarnations and withdrawn evidence that are
// older than Settings.RetentionTime.
func (g *Gossip) prune(now time.Time) {
	if now.Before(g.nextPrune) {
		return
	}
	g.nextPrune = now.Add(pruneInterval)
	oldest := now.Add(-g.settings.RetentionTime)
	for name, known := range g.records {
		if known.gone() && known.goneSince.Before(oldest) {
			delete(g.records, name)
			g.recordEnded(now, known.status.GetIncarnation())
			g.snapshotStale = true
		}
	}
	for incarnation, since := range g.endedIncarnations {
		if since.Before(oldest) {
			delete(g.endedIncarnations, incarnation)
			g.snapshotStale = true
		}
	}
	g.pruneEvidence(oldest)
}
