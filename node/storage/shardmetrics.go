package storage

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marblering/marblering/coordination/shard"
)

// ShardReplica describes the shards of a storage node. shard.Replica implements it.
type ShardReplica interface {
	Statuses() []shard.Status
	CopiedTotal() (turns, bytes uint64)
}

// shardMetrics reads the state of the shards when metrics are gathered.
type shardMetrics struct {
	replica ShardReplica

	replicas, epoch, oldest, turns, bytes *prometheus.Desc
}

// NewShardMetrics returns the metrics of a storage node's shards.
func NewShardMetrics(replica ShardReplica) prometheus.Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &shardMetrics{
		replica: replica,
		replicas: describe("marblering_shard_replicas",
			"Shards that this node is a member of: whole, copying, or missing their data with no copy under way.", "state"),
		epoch:  describe("marblering_shard_epoch", "Newest open epoch that this node knows of a shard.", "shard"),
		oldest: describe("marblering_shard_oldest_copy_seconds", "Longest time for which this node lacks a shard's data as a member; 0 if it lacks none."),
		turns:  describe("marblering_shard_copied_turns_total", "Turns that this node fetched from other members for copies of shards."),
		bytes:  describe("marblering_shard_copied_bytes_total", "Bytes of these turns."),
	}
}

// Describe implements prometheus.Collector.
func (m *shardMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{m.replicas, m.epoch, m.oldest, m.turns, m.bytes} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (m *shardMetrics) Collect(metrics chan<- prometheus.Metric) {
	send := func(description *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, kind, value, labels...)
	}
	counts := make(map[shard.ReplicaState]int)
	var oldest time.Duration
	for _, status := range m.replica.Statuses() {
		counts[status.State]++
		if !status.LackingSince.IsZero() {
			oldest = max(oldest, time.Since(status.LackingSince))
		}
		if status.View.Epoch > 0 {
			send(m.epoch, prometheus.GaugeValue, float64(status.View.Epoch), strconv.FormatUint(uint64(status.Shard), 10))
		}
	}
	for _, state := range []shard.ReplicaState{shard.ReplicaWhole, shard.ReplicaCopying, shard.ReplicaMissing} {
		send(m.replicas, prometheus.GaugeValue, float64(counts[state]), string(state))
	}
	send(m.oldest, prometheus.GaugeValue, oldest.Seconds())
	turns, bytes := m.replica.CopiedTotal()
	send(m.turns, prometheus.CounterValue, float64(turns))
	send(m.bytes, prometheus.CounterValue, float64(bytes))
}
