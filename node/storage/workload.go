package storage

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/telemetry"
)

// Counters of the disk.
const (
	diskChanges = "marblering_replica_written_total"
	diskCommits = "marblering_replica_commits_total"
)

// workloadCounters are the counters that the line about the node's work has, by
// the prefix of their fields.
var workloadCounters = map[string]string{
	"marblering_peer_requests_total": "requests",
	diskChanges:                      "written",
	diskCommits:                      "commits",
	telemetry.StoreCalls:             "store_calls",
}

// registerDiskCounters makes the metrics of the disk.
func (n *Node) registerDiskCounters() {
	n.metrics.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: diskChanges, Help: "Changes of registers, turns and meta values that reached the disk.",
		}, func() float64 { changes, _ := n.store.Written(); return float64(changes) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: diskCommits, Help: "Commits to the disk, each with one or more changes.",
		}, func() float64 { _, commits := n.store.Written(); return float64(commits) }),
	)
}
