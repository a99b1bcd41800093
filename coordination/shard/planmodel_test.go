package shard_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
)

const (
	planModelEvents = 25
	// planModelSettleTime is longer than any delay of the planner.
	planModelSettleTime = 90 * time.Second
	// planModelDetectionDelay is how long an unresponsive node stays undetected.
	planModelDetectionDelay = time.Second
)

// planNode is the actual state of a node with a disk.
type planNode struct {
	name, zone  string
	incarnation int
	started     time.Time
	// unresponsiveSince is zero while the node answers; a removed node never answers again.
	unresponsiveSince time.Time
	removed           bool
	leaving           bool
	// isKnown and leavingKnown are what the other nodes have read from the store.
	isKnown, leavingKnown bool
}

func (n *planNode) member() register.Member {
	return register.Member{Node: n.name, Incarnation: fmt.Sprintf("%s-%d", n.name, n.incarnation), Address: n.name, Zone: n.zone}
}

func (n *planNode) answers() bool { return n.unresponsiveSince.IsZero() }

// planModel steps the planner through events, without concurrency or I/O. A move takes effect
// at once if its members answer, and otherwise not at all.
type planModel struct {
	t        *rapid.T
	now      time.Time
	settings shard.PlanSettings
	zones    int
	nodes    []*planNode
	views    []register.View
	// storeUnavailable keeps new nodes and announcements of leaving nodes from becoming known.
	storeUnavailable bool
}

// TestPlanModel checks that all sets are complete again some time after the last event, as long
// as a majority of each set's disks keeps its data.
func TestPlanModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newPlanModel(rt)
		for range planModelEvents {
			m.applyRandomEvent()
			for range rapid.IntRange(0, 8).Draw(rt, "pause") {
				m.step()
			}
		}
		m.endFaults()
		for end := m.now.Add(planModelSettleTime); m.now.Before(end); {
			m.step()
		}
		m.checkComplete()
	})
}

func newPlanModel(rt *rapid.T) *planModel {
	m := &planModel{t: rt, now: planNow, zones: rapid.IntRange(1, 5).Draw(rt, "zones")}
	count := rapid.IntRange(3, 9).Draw(rt, "nodes")
	factor := 3
	if count >= 5 && rapid.Bool().Draw(rt, "two losses") {
		factor = 5
	}
	m.settings = shard.PlanSettings{ReplicationFactor: factor, ReplaceAfter: 20 * time.Second, ReplaceAfterStandby: 500 * time.Millisecond, MaxMoves: 8}
	var candidates []shard.Candidate
	for range count {
		added := m.add()
		added.started, added.isKnown = m.now.Add(-time.Hour), true
		candidates = append(candidates, shard.Candidate{Member: added.member(), HasDataFolder: true})
	}
	for number, members := range shard.AssignAll(3, factor, candidates) {
		m.views = append(m.views, register.View{Shard: uint32(number), Epoch: shard.FirstEpoch, Members: members})
	}
	return m
}

func (m *planModel) add() *planNode {
	zone := rapid.IntRange(0, m.zones-1).Draw(m.t, "zone")
	added := &planNode{name: fmt.Sprint("n", len(m.nodes)), zone: fmt.Sprint("z", zone), started: m.now, isKnown: !m.storeUnavailable}
	m.nodes = append(m.nodes, added)
	return added
}

// applyRandomEvent applies one random event.
func (m *planModel) applyRandomEvent() {
	node := rapid.SampledFrom(m.nodes).Draw(m.t, "node")
	if node.removed {
		return
	}
	switch rapid.SampledFrom([]string{"leave", "stay", "freeze", "return", "wipe", "remove", "replace", "add", "store"}).Draw(m.t, "event") {
	case "leave":
		node.leaving, node.leavingKnown = true, !m.storeUnavailable
	case "stay":
		node.leaving, node.leavingKnown = false, false
	case "freeze":
		m.stopAnswering(node)
	case "return":
		node.unresponsiveSince = time.Time{}
	case "wipe":
		if m.survivesWithout(node) {
			node.incarnation++
			node.started, node.unresponsiveSince = m.now, time.Time{}
		}
	case "remove":
		if m.survivesWithout(node) {
			m.stopAnswering(node)
			node.removed = true
		}
	case "replace":
		if m.survivesWithout(node) {
			m.stopAnswering(node)
			node.removed = true
			m.add()
		}
	case "add":
		if len(m.nodes) < 14 {
			m.add()
		}
	case "store":
		m.storeUnavailable = !m.storeUnavailable
		if !m.storeUnavailable {
			m.syncFromStore()
		}
	}
}

func (m *planModel) stopAnswering(node *planNode) {
	if node.answers() {
		node.unresponsiveSince = m.now
	}
}

// syncFromStore makes the content of the store known to all nodes.
func (m *planModel) syncFromStore() {
	for _, node := range m.nodes {
		node.isKnown, node.leavingKnown = true, node.leaving
	}
}

// hasData reports whether the member's node still has the disk of that incarnation.
func (m *planModel) hasData(member register.Member) bool {
	return slices.ContainsFunc(m.nodes, func(n *planNode) bool { return !n.removed && n.member() == member })
}

// survivesWithout reports whether each set keeps a majority of members with data without the
// node.
func (m *planModel) survivesWithout(node *planNode) bool {
	for _, view := range m.views {
		withData := 0
		for _, member := range view.Members {
			if member.Node != node.name && m.hasData(member) {
				withData++
			}
		}
		if withData < view.Quorum() {
			return false
		}
	}
	return true
}

func (m *planModel) situation() shard.ClusterState {
	s := shard.ClusterState{Now: m.now, ObservedSince: planNow, Views: m.views}
	for _, node := range m.nodes {
		if !node.isKnown {
			continue
		}
		known := shard.Node{Member: node.member(), HasDataFolder: true, Leaving: node.leavingKnown, Started: node.started}
		if !node.answers() && m.now.Sub(node.unresponsiveSince) >= planModelDetectionDelay {
			known.GoneSince = node.unresponsiveSince.Add(planModelDetectionDelay)
		}
		s.Nodes = append(s.Nodes, known)
	}
	return s
}

// step advances the time by one round of the planner, checks the plan and applies the moves
// that are possible.
func (m *planModel) step() {
	m.now = m.now.Add(500 * time.Millisecond)
	situation := m.situation()
	outcome := shard.Plan(situation, m.settings)
	for _, lost := range outcome.Lost {
		m.checkLost(lost)
	}
	for _, move := range outcome.Moves {
		m.checkMove(situation, move)
		if m.isPossible(move) {
			m.views[move.View.Shard].Members = move.Members
			m.views[move.View.Shard].Epoch++
		}
	}
}

// checkLost checks that no set is reported as permanently lost while a majority has its data.
func (m *planModel) checkLost(lost shard.LostSet) {
	withData := 0
	for _, member := range lost.View.Members {
		if m.hasData(member) {
			withData++
		}
	}
	assert.Assert(m.t, !lost.IsPermanent() || withData < lost.View.Quorum(), "%d members of %v have data, but the set is reported as permanently lost", withData, lost)
}

// checkMove checks that the new set names no node twice and no member that is known not to
// answer, and that it can lose a member.
func (m *planModel) checkMove(known shard.ClusterState, move shard.Move) {
	assert.NilError(m.t, register.View{Members: move.Members}.Validate())
	for _, member := range move.Members {
		index := slices.IndexFunc(known.Nodes, func(n shard.Node) bool { return n.Member == member })
		assert.Assert(m.t, index >= 0, "%s is unknown: %v", member.Incarnation, move)
		assert.Assert(m.t, known.Nodes[index].GoneSince.IsZero(), "%s is gone: %v", member.Incarnation, move)
	}
	assert.Assert(m.t, len(move.Members) > len(move.View.Members)/2+1 || len(move.View.Members) < 3, "the new set cannot lose a member: %v", move)
}

// isPossible reports whether all new members and a majority of the old ones answer.
func (m *planModel) isPossible(move shard.Move) bool {
	answering := func(member register.Member) bool {
		return slices.ContainsFunc(m.nodes, func(n *planNode) bool { return n.answers() && n.member() == member })
	}
	count := 0
	for _, member := range move.View.Members {
		if answering(member) {
			count++
		}
	}
	for _, member := range move.Members {
		if !answering(member) {
			return false
		}
	}
	return count >= move.View.Quorum()
}

// endFaults ends all temporary faults.
func (m *planModel) endFaults() {
	m.storeUnavailable = false
	m.syncFromStore()
	for _, node := range m.nodes {
		if !node.removed {
			node.unresponsiveSince = time.Time{}
		}
	}
}

// checkComplete checks that every set has as many live members as possible, and leaving
// members only if too few other nodes are live.
func (m *planModel) checkComplete() {
	live, staying := 0, 0
	for _, node := range m.nodes {
		if node.removed {
			continue
		}
		live++
		if !node.leaving {
			staying++
		}
	}
	for _, view := range m.views {
		withData, leaving := 0, 0
		for _, member := range view.Members {
			if m.hasData(member) {
				withData++
			}
			if slices.ContainsFunc(m.nodes, func(n *planNode) bool { return n.leaving && n.member() == member }) {
				leaving++
			}
		}
		wanted := min(m.settings.ReplicationFactor, live)
		if staying < m.settings.ReplicationFactor {
			// A leaving node doesn't join a set, but stays in one that lacks other nodes.
			wanted = min(max(staying, view.Quorum()), live)
		}
		assert.Assert(m.t, withData >= wanted, "%d of %d members have data, want %d: %v", withData, len(view.Members), wanted, view)
		assert.Assert(m.t, leaving == 0 || staying < m.settings.ReplicationFactor, "%d members are leaving: %v", leaving, view)
	}
}
