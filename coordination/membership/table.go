package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// record is what is known of the newest life of one other node.
type record struct {
	// status is never changed in place; messages share it.
	status    *peerv1.NodeStatus
	positions positions
	// heard is when the heartbeat last rose, direct when the node itself last
	// answered or asked.
	heard     time.Time
	direct    time.Time
	lastProbe time.Time
	goneSince time.Time
	suspicion *suspicion
	// differsSince is when its table began to differ from this node's at every
	// exchange; zero while they are equal.
	differsSince time.Time
}

func (r *record) gone() bool { return r.status.GetGone() }

func (r *record) state() State {
	if r.gone() {
		return Gone
	}
	if r.suspicion != nil {
		return Suspect
	}
	return Alive
}

func (r *record) target() Target {
	return Target{
		Node:        r.status.GetNode(),
		Incarnation: r.status.GetIncarnation(),
		Address:     r.status.GetAddress(),
	}
}

// origin says how a status came in.
type origin uint8

const (
	// fromNode is the node's own word about itself.
	fromNode origin = iota
	// fromUpdate is a change that is being spread.
	fromUpdate
	// fromCopy is an entry of a full copy.
	fromCopy
)

// merge records one whole status.
func (g *Gossip) merge(now time.Time, status *peerv1.NodeStatus, from origin) {
	if !acceptable(status) {
		return
	}
	if status.GetNode() == g.self.identity.Node {
		g.answerClaim(now, status)
		return
	}
	known := g.records[status.GetNode()]
	if known == nil {
		g.insert(now, status, from)
		return
	}
	if from == fromUpdate && !isNews(known.status, status) {
		g.queue.heard(subject{node: status.GetNode()})
	}
	if supersedes(status, known.status) {
		g.replace(now, known, status, from)
	} else if status.GetGone() && !known.gone() {
		// Others gave it up with less knowledge than is here: look again.
		g.requestProbe(status.GetNode())
	}
	if from == fromNode {
		g.heardFrom(now, known, status.GetIncarnation())
	}
}

// heardFrom ends a suspicion of the incarnation, which has answered itself.
func (g *Gossip) heardFrom(now time.Time, known *record, incarnation string) {
	if incarnation == known.status.GetIncarnation() && !known.gone() {
		known.direct = now
		g.endSuspicion(known)
	}
}

// insert records the first status of a node.
func (g *Gossip) insert(now time.Time, status *peerv1.NodeStatus, from origin) {
	if len(g.records) >= maximumNodes {
		return
	}
	known := &record{
		status:    status,
		positions: ringPositions(status.GetNode()),
		heard:     now,
	}
	if from == fromNode {
		known.direct = now
	}
	g.records[status.GetNode()] = known
	delete(g.buried, status.GetIncarnation())
	g.changed()
	if status.GetGone() {
		known.goneSince = now
		return
	}
	g.record(Event{Kind: Joined, Member: g.member(known)})
	if from != fromCopy || g.settled {
		g.spread(status, from)
	}
}

func (g *Gossip) replace(now time.Time, known *record, status *peerv1.NodeStatus, from origin) {
	previous := known.status
	wasGone := previous.GetGone()
	news := isNews(previous, status)
	if status.GetGone() && status.GetAddress() == "" {
		status = keepPlace(status, previous)
	}
	known.status = status
	known.heard = now
	if !status.GetGone() {
		g.endSuspicion(known)
	}
	if !news {
		return
	}
	if status.GetIncarnation() != previous.GetIncarnation() {
		g.bury(now, previous.GetIncarnation())
	}
	delete(g.buried, status.GetIncarnation())
	g.changed()
	if status.GetGone() {
		known.suspicion = nil
		known.goneSince = now
	}
	g.recordChange(known, wasGone, previous)
	g.spread(status, from)
}

func (g *Gossip) recordChange(known *record, wasGone bool, previous *peerv1.NodeStatus) {
	member := g.member(known)
	switch {
	case member.State == Gone:
		g.record(Event{Kind: Left, Member: member})
	case wasGone || previous.GetIncarnation() != member.Incarnation:
		g.record(Event{Kind: Joined, Member: member})
	case member.Leaving && !previous.GetLeaving():
		g.record(Event{Kind: Leaving, Member: member})
	}
}

// spread queues a change for the next messages.
func (g *Gossip) spread(status *peerv1.NodeStatus, from origin) {
	sends := sendsFor(len(g.records) + 1)
	if from == fromCopy {
		sends = min(sends, fullCopySends)
	}
	level := priorityAlive
	if status.GetGone() {
		level = priorityGone
	} else if status.GetLeaving() {
		level = priorityLeaving
		g.hurry()
	}
	g.queue.add(subject{node: status.GetNode()}, level, sends)
}

// answerClaim refutes what others say of this node where it would override the
// node's own word.
func (g *Gossip) answerClaim(now time.Time, claim *peerv1.NodeStatus) {
	foreign := claim.GetIncarnation() != g.self.identity.Incarnation
	if g.self.gone || !supersedes(claim, g.self.status()) {
		if foreign {
			g.bury(now, claim.GetIncarnation())
		}
		return
	}
	if foreign {
		if _, found := g.refuted[claim.GetIncarnation()]; found {
			// Another process runs under this node's name and insists.
			g.record(Event{Kind: NameTaken, Member: g.selfMember()})
			return
		}
		g.refuted[claim.GetIncarnation()] = struct{}{}
	}
	if g.self.refute(claim) {
		g.changed()
		g.spread(g.self.status(), fromNode)
	}
}

// bury remembers an incarnation that another one of its node replaced.
func (g *Gossip) bury(now time.Time, incarnation string) {
	if _, found := g.buried[incarnation]; !found {
		g.stale = true
	}
	g.buried[incarnation] = now
}

// changed marks everything that is derived from the records as stale.
func (g *Gossip) changed() {
	g.stale = true
	g.peersStale = true
	g.digest = 0
}

// tableDigest is equal at two nodes that know the same live nodes and the same
// leaving engines.
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

// prune forgets what is long over.
func (g *Gossip) prune(now time.Time) {
	if now.Before(g.nextPrune) {
		return
	}
	g.nextPrune = now.Add(pruneInterval)
	oldest := now.Add(-g.settings.ForgetTime)
	for name, known := range g.records {
		if known.gone() && known.goneSince.Before(oldest) {
			delete(g.records, name)
			g.bury(now, known.status.GetIncarnation())
			g.stale = true
		}
	}
	for incarnation, since := range g.buried {
		if since.Before(oldest) {
			delete(g.buried, incarnation)
			g.stale = true
		}
	}
	g.pruneEvidence(oldest)
}
