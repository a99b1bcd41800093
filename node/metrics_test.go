package node_test

import (
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/node"
)

const (
	operationsPage = "../docs/OPERATIONS.md"
	metricsStart   = "<!-- metrics: start -->\n"
	metricsEnd     = "<!-- metrics: end -->\n"
)

// description matches the text form of a prometheus.Desc.
var description = regexp.MustCompile(`^Desc{fqName: "(marblering_\w+)", help: "(.*?)"(?:, unit: ".*")?, constLabels: {}, variableLabels: {(.*)}}$`)

// metricsTable renders the node's own metrics as the page must have them. It
// asks for descriptions, since a metric without a value isn't gathered.
func metricsTable(t *testing.T, at *node.Node) string {
	t.Helper()
	registry, ok := at.Metrics().(prometheus.Collector)
	assert.Assert(t, ok)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var rows []string
	for described := range descriptions {
		if match := description.FindStringSubmatch(described.String()); match != nil {
			labels := strings.ReplaceAll(cmp.Or(match[3], "none"), ",", ", ")
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", match[1], labels, match[2]))
		}
	}
	slices.Sort(rows)
	return "| metric | labels | for |\n| --- | --- | --- |\n" + strings.Join(rows, "")
}

// TestPageHoldsTheMetrics compares the page with a node that has served a call.
func TestPageHoldsTheMetrics(t *testing.T) {
	system := startSystem(t, deployment.Options{Nodes: 3, Zones: 3, Engines: 1})
	at := system.Nodes[0]
	id := createProgram(t, at, "")
	got := call(at, id, "hello")
	assert.Assert(t, isWhole(got), "%s", got.body)

	content, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(content), metricsStart)
	assert.Assert(t, found)
	table, _, found := strings.Cut(rest, metricsEnd)
	assert.Assert(t, found)
	wanted := metricsTable(t, at)
	assert.Equal(t, table, wanted, "the page must have:\n%s", wanted)
	assertGathered(t, at, table)
}

// assertGathered makes sure that every gathered metric is on the page, and that
// the call left its marks.
func assertGathered(t *testing.T, at *node.Node, table string) {
	t.Helper()
	families, err := at.Metrics().Gather()
	assert.NilError(t, err)
	for _, family := range families {
		own := strings.HasPrefix(family.GetName(), "marblering_")
		assert.Assert(t, !own || strings.Contains(table, "`"+family.GetName()+"`"), family.GetName())
	}
	for name, labels := range map[string]map[string]string{
		"marblering_caller_requests_total":   {"operation": "call", "code": "ok"},
		"marblering_attempts_total":          {"outcome": "answered"},
		"marblering_routing_decisions_total": {"result": "chosen"},
		"marblering_nodes":                   {"state": "serving"},
		"marblering_engines":                 {"state": "serving"},
		"marblering_replicated_shards":       nil,
		"marblering_configuration_version":   nil,
	} {
		assert.Assert(t, metric(t, at, name, labels) > 0, "%s %v", name, labels)
	}
}
