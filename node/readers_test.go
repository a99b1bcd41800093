package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/lab/objectstore"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/protocol/operator"
)

func platformStats(t *testing.T, platform string) objectstore.Stats {
	t.Helper()
	var stats objectstore.Stats
	got := send(http.MethodGet, platform+"/control/stats", http.Header{}, "")
	assert.NilError(t, json.Unmarshal(got.body, &stats), "%s", got.body)
	return stats
}

// TestFewNodesWatchThePlatform has eight nodes in two zones learn a change of
// which two a zone are told by the platform.
func TestFewNodesWatchThePlatform(t *testing.T) {
	const zones, readers = 2, 2
	limits := configuration.DefaultLimits()
	system := startSystem(t, deployment.Options{Zones: zones, Nodes: 8, Engines: 1, Limits: &limits})
	// While the nodes are still meeting, more of them may watch for a while.
	eventually(t, func() bool {
		before := platformStats(t, system.Platform)
		limits.DefaultTurnLimit++
		version, err := system.Replace(context.Background(), configuration.KindLimits, configuration.SingletonName, limits)
		assert.NilError(t, err)
		for _, at := range system.Nodes {
			eventually(t, func() bool {
				return metric(t, at, "marblering_configuration_version", nil) >= float64(version)
			}, "version %d isn't in force", version)
		}
		after := platformStats(t, system.Platform)
		return before.WatchersNow == zones*readers && after.WatchersNow == zones*readers &&
			after.Requests["watch"] == before.Requests["watch"] && after.Requests["list_all"] == before.Requests["list_all"]
	}, "more than %d nodes asked the platform", zones*readers)
}

// TestConfigurationSurvivesARestartWithoutThePlatform starts a node again on its
// data folder while the platform is down.
func TestConfigurationSurvivesARestartWithoutThePlatform(t *testing.T) {
	store := objectstore.New(objectstore.Options{Seed: 1})
	platform := httptest.NewServer(store)
	defer platform.Close()
	loaded, err := deployment.Settings("--name=node-1", "--zone=zone-1", "--object-api="+platform.URL,
		"--replication-factor=1", "--shards=1", "--data-folder="+t.TempDir())
	assert.NilError(t, err)
	start := func() *node.Node {
		started, err := node.Start(loaded, zap.NewNop())
		assert.NilError(t, err)
		return started
	}
	first := start()
	eventually(t, func() bool { return get(first, "/readyz").status == http.StatusOK }, "the node is not ready")
	version := metric(t, first, "marblering_configuration_version", nil)
	assert.NilError(t, first.Close())
	down := send(http.MethodPost, platform.URL+"/control/faults", http.Header{}, `{"down":true}`)
	assert.Equal(t, down.status, http.StatusOK)

	again := start()
	defer func() { assert.NilError(t, again.Close()) }()
	assert.Assert(t, metric(t, again, "marblering_configuration_version", nil) >= version)
}

// BenchmarkAcceptance changes a tenant by commands at one of three nodes and
// waits until the change is in force at each.
func BenchmarkAcceptance(b *testing.B) {
	system, err := deployment.Start(context.Background(), deployment.Options{
		Zones: 3, Nodes: 3, Engines: 1, Shards: 16, Seed: 1, TimeScale: 50, Logger: zap.NewNop(),
	})
	assert.NilError(b, err)
	defer func() { assert.NilError(b, system.Close()) }()
	client := operator.Client{Address: system.Nodes[0].OperatorAddress(), HTTP: http.DefaultClient}
	run := func(statement string) operator.Answer {
		answer, err := client.Run(context.Background(), operator.Request{Text: statement, Operator: "benchmark", CommandID: statement})
		assert.NilError(b, err)
		return answer
	}
	read := run("configuration where kind = tenant and name = " + deployment.TenantName).Table
	version := read.Rows[0][2].String()
	var accepted, everywhere, longest time.Duration
	for b.Loop() {
		began := time.Now()
		command := run(fmt.Sprintf("set tenant %s weight 2 expect version %s", deployment.TenantName, version)).Command
		accepted += time.Since(began)
		version = fmt.Sprint(command.Version)
		for _, at := range system.Nodes {
			for configurationVersion(b, at) < command.ConfigurationVersion {
				time.Sleep(time.Millisecond)
			}
		}
		took := time.Since(began)
		everywhere += took
		longest = max(longest, took)
	}
	b.ReportMetric(float64(accepted.Microseconds())/1000/float64(b.N), "ms/accepted")
	b.ReportMetric(float64(everywhere.Microseconds())/1000/float64(b.N), "ms/everywhere")
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
}

func configurationVersion(b *testing.B, at *node.Node) uint64 {
	families, err := at.Metrics().Gather()
	assert.NilError(b, err)
	for _, family := range families {
		if family.GetName() == "marblering_configuration_version" {
			return uint64(family.GetMetric()[0].GetGauge().GetValue())
		}
	}
	return 0
}
