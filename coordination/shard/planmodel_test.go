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
	// planModelQuiet is longer than any patience of the plan.
	planModelQuiet = 90 * time.Second
	// planModelNotice is how long a silent node goes unnoticed.
	planModelNotice = time.Second
)

// planNode is a machine with a disk, as it really is.
type planNode struct {
	name, zone string
	life       int
	started    time.Time
	// silentSince is zero while the node answers; removed nodes never do again.
	silentSince time.Time
	removed     bool
	leaving     bool
	// isKnown and leavingKnown are what the others have heard through the store.
	isKnown, leavingKnown bool
}

func (n *planNode) member() register.Member {
	return register.Member{Node: n.name, Incarnation: fmt.Sprintf("%s-%d", n.name, n.life), Address: n.name, Zone: n.zone}
}

func (n *planNode) answers() bool { return n.silentSince.IsZero() }

// planWorld steps the planner through events, without threads or I/O: what a
// plan wants is done at once where its members take part, and else not at all.
type planWorld struct {
	t        *rapid.T
	now      time.Time
	settings shard.PlanSettings
	zones    int
	nodes    []*planNode
	views    []register.View
	// storeAway keeps new nodes and orders to leave from being heard of.
	storeAway bool
}

// TestPlanModel: whatever becomes of the nodes, as long as a majority of each
// set's disks is whole, the sets are whole again after quiet time.
func TestPlanModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newPlanWorld(rt)
		for range planModelEvents {
			w.happen()
			for range rapid.IntRange(0, 8).Draw(rt, "pause") {
				w.step()
			}
		}
		w.calm()
		for end := w.now.Add(planModelQuiet); w.now.Before(end); {
			w.step()
		}
		w.checkWhole()
	})
}

func newPlanWorld(rt *rapid.T) *planWorld {
	w := &planWorld{t: rt, now: planNow, zones: rapid.IntRange(1, 5).Draw(rt, "zones")}
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

func (w *planWorld) add() *planNode {
	zone := rapid.IntRange(0, w.zones-1).Draw(w.t, "zone")
	added := &planNode{name: fmt.Sprint("n", len(w.nodes)), zone: fmt.Sprint("z", zone), started: w.now, isKnown: !w.storeAway}
	w.nodes = append(w.nodes, added)
	return added
}

// happen makes one random event of the kinds that a deployment knows.
func (w *planWorld) happen() {
	node := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	if node.removed {
		return
	}
	switch rapid.SampledFrom([]string{"leave", "stay", "freeze", "return", "wipe", "remove", "replace", "add", "store"}).Draw(w.t, "event") {
	case "leave":
		node.leaving, node.leavingKnown = true, !w.storeAway
	case "stay":
		node.leaving, node.leavingKnown = false, false
	case "freeze":
		w.silence(node)
	case "return":
		node.silentSince = time.Time{}
	case "wipe":
		if w.survivesWithout(node) {
			node.life++
			node.started, node.silentSince = w.now, time.Time{}
		}
	case "remove":
		if w.survivesWithout(node) {
			w.silence(node)
			node.removed = true
		}
	case "replace":
		if w.survivesWithout(node) {
			w.silence(node)
			node.removed = true
			w.add()
		}
	case "add":
		if len(w.nodes) < 14 {
			w.add()
		}
	case "store":
		w.storeAway = !w.storeAway
		if !w.storeAway {
			w.hear()
		}
	}
}

func (w *planWorld) silence(node *planNode) {
	if node.answers() {
		node.silentSince = w.now
	}
}

// hear lets everything be known that stands in the store.
func (w *planWorld) hear() {
	for _, node := range w.nodes {
		node.isKnown, node.leavingKnown = true, node.leaving
	}
}

// isWhole tells that the member's disk is as it was.
func (w *planWorld) isWhole(member register.Member) bool {
	return slices.ContainsFunc(w.nodes, func(n *planNode) bool { return !n.removed && n.member() == member })
}

// survivesWithout tells that each set keeps a majority of whole disks without
// the node's.
func (w *planWorld) survivesWithout(node *planNode) bool {
	for _, view := range w.views {
		whole := 0
		for _, member := range view.Members {
			if member.Node != node.name && w.isWhole(member) {
				whole++
			}
		}
		if whole < view.Quorum() {
			return false
		}
	}
	return true
}

func (w *planWorld) situation() shard.Situation {
	s := shard.Situation{Now: w.now, WatchedSince: planNow, Views: w.views}
	for _, node := range w.nodes {
		if !node.isKnown {
			continue
		}
		known := shard.Node{Member: node.member(), HasDataFolder: true, Leaving: node.leavingKnown, Started: node.started}
		if !node.answers() && w.now.Sub(node.silentSince) >= planModelNotice {
			known.GoneSince = node.silentSince.Add(planModelNotice)
		}
		s.Nodes = append(s.Nodes, known)
	}
	return s
}

// step lets the time pass by one round of the planner, checks its plan and does
// what can be done of it.
func (w *planWorld) step() {
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
func (w *planWorld) checkLost(lost shard.LostSet) {
	whole := 0
	for _, member := range lost.View.Members {
		if w.isWhole(member) {
			whole++
		}
	}
	assert.Assert(w.t, !lost.IsPermanent() || whole < lost.View.Quorum(), "%d disks of %v are whole", whole, lost)
}

// checkMove: no set names a machine twice, or a member that is known not to
// answer.
func (w *planWorld) checkMove(known shard.Situation, move shard.Move) {
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
func (w *planWorld) isPossible(move shard.Move) bool {
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

// calm ends all disturbances that end by themselves.
func (w *planWorld) calm() {
	w.storeAway = false
	w.hear()
	for _, node := range w.nodes {
		if !node.removed {
			node.silentSince = time.Time{}
		}
	}
}

// checkWhole: every set has as many living members as there can be, and a node
// that is to leave only where too few others live.
func (w *planWorld) checkWhole() {
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
			if w.isWhole(member) {
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
