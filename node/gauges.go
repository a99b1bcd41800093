package node

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/coordination/membership"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/routing"
)

// Values of the label state of engines and nodes.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateEjected = "ejected"
)

// gauges read the state of the node when metrics are gathered, and cost nothing in
// between.
type gauges struct {
	node *Node

	configuration *prometheus.Desc
	inFlight      *prometheus.Desc
	engines       *prometheus.Desc
	nodes         *prometheus.Desc
	shards        *prometheus.Desc
}

var _ prometheus.Collector = (*gauges)(nil)

func newGauges(node *Node) *gauges {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &gauges{
		node: node,
		configuration: describe("marblering_configuration_version",
			"Version of the configuration in force at this node."),
		inFlight: describe("marblering_requests_in_flight", "Requests of callers being served."),
		engines: describe("marblering_engines",
			"Engines as this node sees them: serving, leaving or ejected.", "state"),
		nodes: describe("marblering_nodes",
			"Nodes as this node sees them, itself included: serving or leaving; failed ones aren't counted.", "state"),
		shards: describe("marblering_replicated_shards", "Shards of which this node keeps a replica."),
	}
}

// Describe implements prometheus.Collector.
func (g *gauges) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{g.configuration, g.inFlight, g.engines, g.nodes, g.shards} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (g *gauges) Collect(metrics chan<- prometheus.Metric) {
	send := func(description *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	send(g.configuration, int(g.node.holder.Version()))
	send(g.inFlight, g.node.callers.InFlight())
	send(g.shards, g.node.replicatedShards())
	nodes := countNodes(g.node.membership.Members().Live())
	for _, state := range []string{stateServing, stateLeaving} {
		send(g.nodes, nodes[state], state)
	}
	engines := countEngines(g.node.fleet.Engines())
	for _, state := range []string{stateServing, stateLeaving, stateEjected} {
		send(g.engines, engines[state], state)
	}
}

// countEngines counts each engine once. One that is leaving and ejected counts as
// leaving.
func countEngines(engines []routing.EngineState) map[string]int {
	counts := make(map[string]int)
	for index := range engines {
		switch {
		case engines[index].Leaving:
			counts[stateLeaving]++
		case engines[index].Ejected:
			counts[stateEjected]++
		default:
			counts[stateServing]++
		}
	}
	return counts
}

func countNodes(members []membership.Member) map[string]int {
	counts := make(map[string]int)
	for _, member := range members {
		if member.Leaving {
			counts[stateLeaving]++
		} else {
			counts[stateServing]++
		}
	}
	return counts
}

// replicatedShards counts the shards whose replica set names this node.
func (n *Node) replicatedShards() int {
	count := 0
	for shard := range n.views.Count() {
		view, found := n.views.View(shard)
		isSelf := func(member register.Member) bool { return member.Incarnation == n.replica.Incarnation() }
		if found && slices.ContainsFunc(view.Members, isSelf) {
			count++
		}
	}
	return count
}
