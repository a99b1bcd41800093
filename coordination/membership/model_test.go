package membership

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model holds the state on which all views must agree once disturbances end.
type model struct {
	simulation *simulation
	ended      []string
	leaving    map[string]bool
	engines    map[string]bool
}

// convergenceTime is the time after the last disturbance until all views must
// agree.
const convergenceTime = 3 * time.Minute

// TestMain fixes rapid's seed so that test runs are reproducible. Command-line
// flags override these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "80", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func TestViewsConvergeAfterDisturbances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "nodes")
		m := &model{
			simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), size, 3),
			leaving:    map[string]bool{},
			engines:    map[string]bool{},
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m.disturb(t)
			pause := rapid.IntRange(0, 15_000).Draw(t, "pause")
			m.simulation.run(time.Duration(pause) * time.Millisecond)
		}
		m.repair()
		m.simulation.run(convergenceTime)
		m.check(t)
	})
}

func (m *model) disturb(t *rapid.T) {
	s := m.simulation
	node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"kill", "restart", "return", "leave", "stay", "engine", "cut", "heal", "loss"}).Draw(t, "action") {
	case "kill":
		node.running = false
		m.forget(node)
	case "restart":
		m.ended = append(m.ended, node.identity.Incarnation)
		m.forget(node)
		s.start(node)
	case "return":
		m.forget(node)
		s.restart(node, node.identity.Incarnation)
	case "leave":
		m.setLeaving(node, true)
	case "stay":
		m.setLeaving(node, false)
	case "engine":
		m.setEngine(node, rapid.Bool().Draw(t, "leaving"))
	case "cut":
		s.isolatedZones = map[string]bool{node.identity.Zone: true}
	case "heal":
		s.isolatedZones = nil
	case "loss":
		s.loss = rapid.Float64Range(0, 0.3).Draw(t, "rate")
	}
}

// forget removes the expectations that may be lost when the node stops.
func (m *model) forget(node *simulatedNode) {
	delete(m.leaving, node.identity.Node)
	delete(m.engines, engineOf(node))
}

func engineOf(node *simulatedNode) string { return "engine-of-" + node.identity.Node }

func (m *model) setLeaving(node *simulatedNode, leaving bool) {
	if !node.running {
		return
	}
	m.leaving[node.identity.Node] = leaving
	m.simulation.act(node, func(g *Gossip) { g.SetLeaving(leaving) })
}

// setEngine has the node report the state of its engine. Only this node reports on
// the engine, so its last report must win, unless the node restarted in between
// and no longer knows of the leaving mark that it would clear.
func (m *model) setEngine(node *simulatedNode, leaving bool) {
	if !node.running {
		return
	}
	s := m.simulation
	s.run(time.Millisecond)
	if !leaving && !node.gossip.Members().EngineLeaving(engineOf(node)) {
		delete(m.engines, engineOf(node))
		return
	}
	m.engines[engineOf(node)] = leaving
	s.act(node, func(g *Gossip) {
		g.ObserveEngine(s.now, EngineReport{Engine: engineOf(node), Leaving: leaving, RequestedAt: s.now})
	})
}

// repair ends all disturbances and records the incarnations of stopped nodes as
// ended. It starts the first node, a seed, as nodes that don't know each other
// can only meet through one.
func (m *model) repair() {
	s := m.simulation
	s.isolatedZones = nil
	s.loss = 0
	if !s.nodes[0].running {
		m.ended = append(m.ended, s.nodes[0].identity.Incarnation)
		s.start(s.nodes[0])
	}
	for _, node := range s.nodes {
		if !node.running {
			m.ended = append(m.ended, node.identity.Incarnation)
		}
	}
}

func (m *model) check(t *rapid.T) {
	var running []string
	for _, node := range m.simulation.nodes {
		if node.running {
			running = append(running, node.identity.Node)
		}
	}
	slices.Sort(running)
	for _, node := range m.simulation.nodes {
		if node.running {
			m.checkView(t, node, running)
		}
	}
}

func (m *model) firstRunning() *simulatedNode {
	for _, node := range m.simulation.nodes {
		if node.running {
			return node
		}
	}
	return nil
}

func (m *model) checkView(t *rapid.T, node *simulatedNode, running []string) {
	members := node.gossip.Members()
	var live []string
	for _, member := range members.Live() {
		live = append(live, member.Node)
		assert.Equal(t, member.Leaving, m.leaving[member.Node], "%s at %s", member.Node, node.identity.Node)
		assert.Equal(t, member.State, Alive)
	}
	assert.DeepEqual(t, live, running)
	for _, incarnation := range m.ended {
		assert.Assert(t, !members.Alive(incarnation), "%s at %s", incarnation, node.identity.Node)
		// Until its view is settled, a node can't tell an ended incarnation from
		// an unknown one.
		if members.Settled() {
			assert.Assert(t, members.Gone(incarnation), "%s at %s", incarnation, node.identity.Node)
		}
	}
	for engine, leaving := range m.engines {
		assert.Equal(t, members.EngineLeaving(engine), leaving, "%s at %s", engine, node.identity.Node)
	}
	first := m.firstRunning().gossip.Members()
	assert.DeepEqual(t, members.LeavingEngines(), first.LeavingEngines())
}
