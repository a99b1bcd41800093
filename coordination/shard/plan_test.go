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

var planNow = time.Unix(1_000_000, 0)

func planSettings() shard.PlanSettings {
	return shard.PlanSettings{ReplicationFactor: 3, ReplaceAfter: 20 * time.Second, MaxMoves: 2}
}

// planNodes returns two nodes in each of three zones.
func planNodes() []shard.Node {
	var nodes []shard.Node
	for index := range 6 {
		name := fmt.Sprintf("n%d", index)
		nodes = append(nodes, shard.Node{
			Member:        register.Member{Node: name, Incarnation: name + "-1", Address: name, Zone: fmt.Sprintf("z%d", index%3)},
			HasDataFolder: index < 3,
		})
	}
	return nodes
}

func planView(nodes []shard.Node, members ...int) register.View {
	view := register.View{Epoch: 4}
	for _, index := range members {
		view.Members = append(view.Members, nodes[index].Member)
	}
	return view
}

func sortedIncarnations(members []register.Member) string {
	var names []string
	for _, member := range members {
		names = append(names, member.Incarnation)
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}

func TestPlan(t *testing.T) {
	longGone := planNow.Add(-time.Minute)
	justGone := planNow.Add(-time.Second)
	cases := []struct {
		name    string
		members []int
		change  func(nodes []shard.Node) []shard.Node
		reason  shard.Reason
		want    string
		lost    bool
	}{
		{name: "complete", members: []int{0, 1, 2}},
		{name: "short outage", members: []int{0, 1, 2}, change: func(nodes []shard.Node) []shard.Node {
			nodes[0].GoneSince = justGone
			return nodes
		}},
		{name: "gone", members: []int{0, 1, 2}, reason: shard.ReasonGone, want: "[n1-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].GoneSince = longGone
			return nodes
		}},
		{name: "unknown", members: []int{0, 1, 2}, reason: shard.ReasonGone, want: "[n1-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			return nodes[1:]
		}},
		{name: "new incarnation", members: []int{0, 1, 2}, reason: shard.ReasonNewIncarnation, want: "[n0-2 n1-1 n2-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Incarnation = "n0-2"
			return nodes
		}},
		{name: "leaving", members: []int{0, 1, 2}, reason: shard.ReasonLeaving, want: "[n1-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Leaving = true
			return nodes
		}},
		{name: "leaving without a replacement", members: []int{0, 1, 2}, change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Leaving = true
			return nodes[:3]
		}},
		{name: "leaving and gone", members: []int{0, 1, 2}, reason: shard.ReasonGone, want: "[n0-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Leaving, nodes[1].GoneSince = true, longGone
			return nodes[:4]
		}},
		{name: "gone and leaving", members: []int{0, 1, 2}, reason: shard.ReasonGone, want: "[n1-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].GoneSince, nodes[1].Leaving = longGone, true
			return nodes[:4]
		}},
		{name: "new incarnation and leaving", members: []int{0, 1, 2}, reason: shard.ReasonNewIncarnation, want: "[n0-2 n1-1 n2-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Incarnation, nodes[1].Leaving = "n0-2", true
			return nodes[:3]
		}},
		{name: "new incarnation of a leaving node", members: []int{0, 1, 2}, reason: shard.ReasonNewIncarnation, want: "[n1-1 n2-1 n3-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Incarnation, nodes[0].Leaving = "n0-2", true
			return nodes
		}},
		{name: "new incarnation of a leaving node without a replacement", members: []int{0, 1, 2}, reason: shard.ReasonNewIncarnation, want: "[n0-2 n1-1 n2-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Incarnation, nodes[0].Leaving = "n0-2", true
			return nodes[:3]
		}},
		{name: "leaving while another is unresponsive", members: []int{0, 1, 2}, change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Leaving, nodes[1].GoneSince = true, justGone
			return nodes
		}},
		{name: "gone while another is unresponsive", members: []int{0, 1, 2, 3, 4}, reason: shard.ReasonGone, want: "[n2-1 n3-1 n4-1 n5-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].GoneSince, nodes[1].GoneSince = longGone, justGone
			return nodes
		}},
		{name: "address changed", members: []int{0, 1, 2}, reason: shard.ReasonAddressChanged, want: "[n0-1 n1-1 n2-1]", change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Address = "elsewhere"
			return nodes
		}},
		{name: "too few", members: []int{0, 1}, reason: shard.ReasonUndersized, want: "[n0-1 n1-1 n2-1]"},
		{name: "two in a zone", members: []int{0, 1, 3}, reason: shard.ReasonZoneSpread, want: "[n1-1 n2-1 n3-1]"},
		{name: "majority gone", members: []int{0, 1, 2}, lost: true, change: func(nodes []shard.Node) []shard.Node {
			nodes[0].GoneSince, nodes[1].GoneSince = longGone, justGone
			return nodes
		}},
		{name: "majority wiped", members: []int{0, 1, 2}, lost: true, change: func(nodes []shard.Node) []shard.Node {
			nodes[0].Member.Incarnation, nodes[1].Member.Incarnation = "n0-2", "n1-2"
			return nodes
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := planNodes()
			view := planView(nodes, c.members...)
			if c.change != nil {
				nodes = c.change(nodes)
			}
			settings := planSettings()
			settings.ReplicationFactor = max(settings.ReplicationFactor, len(view.Members))
			outcome := shard.Plan(shard.ClusterState{
				Now: planNow, ObservedSince: longGone, Views: []register.View{view}, Nodes: nodes,
			}, settings)
			assert.Equal(t, len(outcome.Lost) == 1, c.lost)
			if c.want == "" {
				assert.Equal(t, len(outcome.Moves), 0)
				return
			}
			assert.Equal(t, len(outcome.Moves), 1)
			assert.Equal(t, outcome.Moves[0].Reason, c.reason)
			assert.Equal(t, sortedIncarnations(outcome.Moves[0].Members), c.want)
			assert.Assert(t, outcome.Moves[0].Driver != "")
		})
	}
}

// TestPlanRotatesMoves plans for one set more than the limit of moves. It guards against moves
// that never succeed and keep the others from being tried.
func TestPlanRotatesMoves(t *testing.T) {
	nodes := planNodes()
	nodes[0].GoneSince = planNow.Add(-time.Hour)
	situation := shard.ClusterState{Now: planNow, ObservedSince: planNow, Nodes: nodes}
	for number := range uint32(planSettings().MaxMoves + 1) {
		view := planView(nodes, 0, 1, 2)
		view.Shard = number
		situation.Views = append(situation.Views, view)
	}
	planned, drivers := make(map[uint32]bool), make(map[string]bool)
	for range 50 {
		for _, move := range shard.Plan(situation, planSettings()).Moves {
			planned[move.View.Shard] = true
			drivers[move.Driver] = true
		}
		situation.Now = situation.Now.Add(time.Minute)
	}
	assert.Equal(t, len(planned), len(situation.Views))
	assert.Assert(t, len(drivers) > 1)
}

// TestPlanConverges applies plans until no moves are left. It checks the limit of moves, and
// that no move shrinks a set.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := planNodes()
		var views []register.View
		for number := range uint32(4) {
			order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}).Draw(rt, "order")
			view := planView(nodes, order[:3]...)
			view.Shard = number
			views = append(views, view)
		}
		for index := range nodes {
			switch rapid.IntRange(0, 5).Draw(rt, "state") {
			case 0:
				nodes[index].GoneSince = planNow.Add(-time.Minute)
			case 1:
				nodes[index].Member.Incarnation += "x"
			case 2:
				nodes[index].Leaving = true
			}
		}
		situation := shard.ClusterState{Now: planNow, ObservedSince: planNow, Views: views, Nodes: nodes}
		for range 40 {
			outcome := shard.Plan(situation, planSettings())
			assert.Assert(rt, len(outcome.Moves) <= planSettings().MaxMoves)
			if len(outcome.Moves) == 0 {
				return
			}
			for _, move := range outcome.Moves {
				assert.Assert(rt, len(move.Members) >= len(move.View.Members))
				views[move.View.Shard].Members = move.Members
				views[move.View.Shard].Epoch++
			}
		}
		rt.Fatalf("the plans do not converge: %+v", views)
	})
}

// TestAssignAllBalances checks that no zone holds a majority of a set, and that no node is in
// many more sets than its share if there are enough nodes and zones.
func TestAssignAllBalances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := rapid.IntRange(3, 6).Draw(rt, "zones")
		factor := rapid.SampledFrom([]int{3, 5}).Draw(rt, "factor")
		shards := rapid.IntRange(1, 16).Draw(rt, "shards")
		var candidates []shard.Candidate
		usable := 0
		for zone := range zones {
			nodes := rapid.IntRange(1, 3).Draw(rt, "nodes")
			usable += min(nodes, (factor-1)/2)
			for range nodes {
				name := fmt.Sprint("n", len(candidates))
				candidates = append(candidates, shard.Candidate{Member: register.Member{Node: name, Incarnation: name, Zone: fmt.Sprint("z", zone)}})
			}
		}
		if usable < factor {
			rt.Skip("too few nodes within the zone limit")
		}
		sets := map[string]int{}
		for _, members := range shard.AssignAll(uint32(shards), factor, candidates) {
			assert.Equal(rt, len(members), factor)
			perZone := map[string]int{}
			for _, member := range members {
				sets[member.Node]++
				perZone[member.Zone]++
			}
			for zone, count := range perZone {
				assert.Assert(rt, 2*count < factor, "zone %s has %d of %d", zone, count, factor)
			}
		}
		if factor == 5 && len(candidates) >= 8 && zones >= 5 {
			fair := (shards*factor + len(candidates) - 1) / len(candidates)
			for node, count := range sets {
				assert.Assert(rt, count <= fair+1, "%s is in %d sets, %d would be fair: %v", node, count, fair, sets)
			}
		}
	})
}

// TestPlanBalancesReplacements checks that several nodes take over the sets of a leaving node.
func TestPlanBalancesReplacements(t *testing.T) {
	nodes := planNodes()
	nodes = append(nodes, nodes[0])
	nodes[6].Member = register.Member{Node: "n6", Incarnation: "n6-1", Address: "n6", Zone: "z0"}
	nodes[3].HasDataFolder = true
	nodes[0].Leaving = true
	situation := shard.ClusterState{Now: planNow, ObservedSince: planNow, Nodes: nodes}
	for number := range uint32(4) {
		view := planView(nodes, 0, 1, 2)
		view.Shard = number
		situation.Views = append(situation.Views, view)
	}
	settings := planSettings()
	settings.MaxMoves = 4
	joined := map[string]int{}
	for _, move := range shard.Plan(situation, settings).Moves {
		for _, member := range move.Members {
			if !slices.Contains(move.View.Members, member) {
				joined[member.Node]++
			}
		}
	}
	assert.DeepEqual(t, joined, map[string]int{"n3": 2, "n6": 2})
}

// BenchmarkPlan plans for complete sets, as every node does each second.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ nodes, shards int }{{13, 64}, {100, 512}, {350, 512}} {
		b.Run(fmt.Sprintf("nodes=%d/shards=%d", size.nodes, size.shards), func(b *testing.B) {
			situation := shard.ClusterState{Now: time.Unix(1000, 0), ObservedSince: time.Unix(0, 0)}
			var candidates []shard.Candidate
			for index := range size.nodes {
				member := register.Member{
					Node: fmt.Sprintf("node-%d", index), Incarnation: fmt.Sprintf("life-%d", index), Zone: fmt.Sprintf("zone-%d", index%13),
				}
				candidates = append(candidates, shard.Candidate{Member: member})
				situation.Nodes = append(situation.Nodes, shard.Node{Member: member})
			}
			for number, members := range shard.AssignAll(uint32(size.shards), 3, candidates) {
				situation.Views = append(situation.Views, register.View{Shard: uint32(number), Epoch: 1, Members: members})
			}
			b.ResetTimer()
			for range b.N {
				if outcome := shard.Plan(situation, shard.PlanSettings{ReplicationFactor: 3, ReplaceAfter: time.Second, MaxMoves: 8}); len(outcome.Moves) != 0 {
					b.Fatal("complete sets need no moves")
				}
			}
		})
	}
}
