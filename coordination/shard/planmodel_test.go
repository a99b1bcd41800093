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
	// planModelSettleTime is longer than any patience of the plan.
	planModelSettleTime = 90 * time.Second
	// planModelDetectionDelay is how long a silent node goes unnoticed.
	planModelDetectionDelay = time.Second
)

// planNode is a machine with a disk, as it really is.
type planNode struct {
	name, zone string
	life       int
	started    time.Time
	// unresponsiveSince is zero while the node answers; removed nodes never do again.
	unresponsiveSince time.Time
	removed           bool
	leaving           bool
	// isKnown and leavingKnown are what the others have heard through the store.
	isKnown, leavingKnown bool
}

func (n *planNode) member() register.Member {
	return register.Member{Node: n.name, Incarnation: fmt.Sprintf("%s-%d", n.name, n.life), Address: n.name, Zone: n.zone}
}

func (n *planNode) answers() bool { return n.unresponsiveSince.IsZero() }

// planModel steps the planner through events, without threads or I/O: what a
// plan wants is done at once where its members take part, and else not at all.
type planModel struct {
	t        *rapid.T
	now      time.Time
	settings shard.PlanSettings
	zones    int
	nodes    []*planNode
	views    []register.View
	// storeUnavailable keeps new nodes and orders to leave from being heard of.
	storeUnavailable bool
}

// TestPlanModel: whatever becomes of the nodes, as long as a majority of each
// set's disks is whole, the sets are whole again after quiet time.
func TestPlanModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newPlanWorld(rt)
		for range planModelEvents {
			w.applyRandomEvent()
			for range rapid.IntRange(0, 8).Draw(rt, "pause") {
				w.step()
			}
		}
		w.endFaults()
		for end := w.now.Add(planModelSettleTime); w.now.Before(end); {
			w.step()
		}
		w.checkComplete()
	})
}

func newPlanWorld(rt *rapid.T) *planModel {
	w := &planModel{t: rt, now: planNow, zones: rapid.IntRange(1, 5).Draw(rt, "zones")}
	count := rapid.IntRange(3, 9).Draw(rt, "nodes")
	factor := 3
	if count >= 5 && rapid.Bool().Draw(rt, "two losses") {
		factor = 5
	}
	w.settings = shard.PlanSettings{Factor: factor, GoneAfter: 20 * time.Second, ReplacedAfter: 500 * time.Millisecond, Moves: 8}
	var candidates []shard.Candidate
	for range count {
		added := w.add()
		added.started, added.isKnown = w.now.Add(-time.Hour), true
		candidates = append(candidates, shard.Candidate{Member: added.member(), HasDataFolder: true})
	}
	for number, members := range shard.AssignAll(3, factor, candidates) {
		w.views = append(w.views, register.View{Shard: uint32(number), Epoch: shard.FirstEpoch, Members: members})
	}
	return w
}

func (w *planModel) add() *planNode {
	zone := rapid.IntRange(0, w.zones-1).Draw(w.t, "zone")
	added := &planNode{name: fmt.Sprint("n", len(w.nodes)), zone: fmt.Sprint("z", zone), started: w.now, isKnown: !w.storeUnavailable}
	w.nodes = append(w.nodes, added)
	return added
}

// applyRandomEvent makes one random event of the kinds that a deployment knows.
func (w *planModel) applyRandomEvent() {
	node := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	if node.removed {
		return
	}
	switch rapid.SampledFrom([]string{"leave", "stay", "freeze", "return", "wipe", "remove", "replace", "add", "store"}).Draw(w.t, "event") {
	case "leave":
		node.leaving, node.leavingKnown = true, !w.storeUnavailable
	case "stay":
		node.leaving, node.leavingKnown = false, false
	case "freeze":
		w.stopAnswering(node)
	case "return":
		node.unresponsiveSince = time.Time{}
	case "wipe":
		if w.survivesWithout(node) {
			node.life++
			node.started, node.unresponsiveSince = w.now, time.Time{}
		}
	case "remove":
		if w.survivesWithout(node) {
			w.stopAnswering(node)
			node.removed = true
		}
	case "replace":
		if w.survivesWithout(node) {
			w.stopAnswering(node)
			node.removed = true
			w.add()
		}
	case "add":
		if len(w.nodes) < 14 {
			w.add()
		}
	case "store":
		w.storeUnavailable = !w.storeUnavailable
		if !w.storeUnavailable {
			w.syncFromStore()
		}
	}
}

func (w *planModel) stopAnswering(node *planNode) {
	if node.answers() {
		node.unresponsiveSince = w.now
	}
}

// syncFromStore lets everything be known that stands in the store.
func (w *planModel) syncFromStore() {
	for _, node := range w.nodes {
		node.isKnown, node.leavingKnown = true, node.leaving
	}
}

// hasData tells that the member's disk is as it was.
func (w *planModel) hasData(member register.Member) bool {
	return slices.ContainsFunc(w.nodes, func(n *planNode) bool { return !n.removed && n.member() == member })
}

// survivesWithout tells that each set keeps a majority of whole disks without
// the node's.
func (w *planModel) survivesWithout(node *planNode) bool {
	for _, view := range w.views {
		whole := 0
		for _, member := range view.Members {
			if member.Node != node.name && w.hasData(member) {
				whole++
			}
		}
		if whole < view.Quorum() {
			return false
		}
	}
	return true
}

func (w *planModel) situation() shard.Situation {
	s := shard.Situation{Now: w.now, WatchedSince: planNow, Views: w.views}
	for _, node := range w.nodes {
		if !node.isKnown {
			continue
		}
		known := shard.Node{Member: node.member(), HasDataFolder: true, Leaving: node.leavingKnown, Started: node.started}
		if !node.answers() && w.now.Sub(node.unresponsiveSince) >= planModelDetectionDelay {
			known.GoneSince = node.unresponsiveSince.Add(planModelDetectionDelay)
		}
		s.Nodes = append(s.Nodes, known)
	}
	return s
}

// step lets the time pass by one round of the planner, checks its plan and does
// what can be done of it.
func (w *planModel) step() {
	w.now = w.now.Add(500 * time.Millisecond)
	situation := w.situation()
	outcome := shard.Plan(situation, w.settings)
	for _, lost := range outcome.Lost {
		w.checkLost(lost)
	}
	for _, move := range outcome.Moves {
		w.checkMove(situation, move)
		if w.isPossible(move) {
			w.views[move.View.Shard].Members = move.Members
			w.views[move.View.Shard].Epoch++
		}
	}
}

// checkLost: a set isn't lost for good while a majority of its disks is whole.
func (w *planModel) checkLost(lost shard.LostSet) {
	whole := 0
	for _, member := range lost.View.Members {
		if w.hasData(member) {
			whole++
		}
	}
	assert.Assert(w.t, !lost.IsPermanent() || whole < lost.View.Quorum(), "%d disks of %v are whole", whole, lost)
}

// checkMove: no set names a machine twice, or a member that is known not to
// answer.
func (w *planModel) checkMove(known shard.Situation, move shard.Move) {
	assert.NilError(w.t, register.View{Members: move.Members}.Validate())
	for _, member := range move.Members {
		index := slices.IndexFunc(known.Nodes, func(n shard.Node) bool { return n.Member == member })
		assert.Assert(w.t, index >= 0, "%s isn't known: %v", member.Incarnation, move)
		assert.Assert(w.t, known.Nodes[index].GoneSince.IsZero(), "%s is gone: %v", member.Incarnation, move)
	}
	assert.Assert(w.t, len(move.Members) > len(move.View.Members)/2+1 || len(move.View.Members) < 3, "no reserve: %v", move)
}

// isPossible tells that each wanted member and a majority of the old ones
// answer.
func (w *planModel) isPossible(move shard.Move) bool {
	answering := func(member register.Member) bool {
		return slices.ContainsFunc(w.nodes, func(n *planNode) bool { return n.answers() && n.member() == member })
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

// endFaults ends all disturbances that end by themselves.
func (w *planModel) endFaults() {
	w.storeUnavailable = false
	w.syncFromStore()
	for _, node := range w.nodes {
		if !node.removed {
			node.unresponsiveSince = time.Time{}
		}
	}
}

// checkComplete: every set has as many living members as there can be, and a node
// that is to leave only where too few others live.
func (w *planModel) checkComplete() {
	living, staying := 0, 0
	for _, node := range w.nodes {
		if node.removed {
			continue
		}
		living++
		if !node.leaving {
			staying++
		}
	}
	for _, view := range w.views {
		whole, leaving := 0, 0
		for _, member := range view.Members {
			if w.hasData(member) {
				whole++
			}
			if slices.ContainsFunc(w.nodes, func(n *planNode) bool { return n.leaving && n.member() == member }) {
				leaving++
			}
		}
		wanted := min(w.settings.Factor, living)
		if staying < w.settings.Factor {
			// Nobody joins a set to leave it: those that can stay, and the ones
			// that were there.
			wanted = min(max(staying, view.Quorum()), living)
		}
		assert.Assert(w.t, whole >= wanted, "%d of %d members live, %d could: %v", whole, len(view.Members), wanted, view)
		assert.Assert(w.t, leaving == 0 || staying < w.settings.Factor, "%d members are leaving: %v", leaving, view)
	}
}
