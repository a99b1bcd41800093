package storage

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/telemetry"
)

// Names of the metrics of the disk.
const (
	writtenMetric = "marblering_replica_written_total"
	commitsMetric = "marblering_replica_commits_total"
)

// workloadCounters maps the counters in the periodic workload log line to the prefixes of
// their log fields.
var workloadCounters = map[string]string{
	"marblering_peer_requests_total": "requests",
	writtenMetric:                    "written",
	commitsMetric:                    "commits",
	telemetry.StoreCallsMetric:       "store_calls",
}

// registerDiskCounters registers the metrics of the disk.
func (n *Node) registerDiskCounters() {
	n.metrics.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: writtenMetric, Help: "Changes of registers, turns and meta values that reached the disk.",
		}, func() float64 { changes, _ := n.disk.WriteCounts(); return float64(changes) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: commitsMetric, Help: "Commits to the disk, each with one or more changes.",
		}, func() float64 { _, commits := n.disk.WriteCounts(); return float64(commits) }),
	)
}
