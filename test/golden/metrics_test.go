package golden_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/node/gateway"
	"github.com/marblering/marblering/node/storage"
	"github.com/marblering/marblering/platform"
	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/telemetry"
	"github.com/marblering/marblering/test/harness"
	"github.com/marblering/marblering/transport/peer"
	"github.com/marblering/marblering/transport/relay"
)

const (
	// metricPrefix begins the names of this project's metrics. Those of the Go runtime
	// and the process are the client library's.
	metricPrefix = "marblering_"
	// unreachable is a store that refuses connections.
	unreachable = "http://127.0.0.1:9"
)

// forms are the names of metrics with type, labels and help.
type forms map[string]string

func (f forms) String() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f)) {
		text.WriteString(name + " " + f[name] + "\n")
	}
	return text.String()
}

// add notes a metric. Both ways by which one is found must say the same of it.
func (f forms) add(t *testing.T, name, kind string, labels []string, help string) {
	t.Helper()
	if !strings.HasPrefix(name, metricPrefix) {
		return
	}
	slices.Sort(labels)
	form := fmt.Sprintf("%s {%s} %s", kind, strings.Join(labels, ", "), help)
	if known, found := f[name]; found {
		assert.Equal(t, known, form, name)
	}
	f[name] = form
}

// addGathered notes the metrics that have a value.
func (f forms) addGathered(t *testing.T, families []*dto.MetricFamily) {
	t.Helper()
	for _, family := range families {
		var labels []string
		for _, label := range family.GetMetric()[0].GetLabel() {
			labels = append(labels, label.GetName())
		}
		f.add(t, family.GetName(), strings.ToLower(family.GetType().String()), labels, family.GetHelp())
	}
}

// addRegistered notes all metrics of the registry, with or without a value.
func (f forms) addRegistered(t *testing.T, registry *prometheus.Registry) {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	f.addGathered(t, families)
	for _, described := range descriptions(registry) {
		if _, known := f[described.name]; !known {
			f.add(t, described.name, described.kindIn(t, registry), described.labels, described.help)
		}
	}
}

// description is what a registry says of a metric that has no value yet.
type description struct {
	name, help string
	labels     []string
}

// descriptions returns those of this project's metrics.
func descriptions(registry *prometheus.Registry) []description {
	form := regexp.MustCompile(`^Desc{fqName: "([^"]*)", help: "([^"]*)", .*variableLabels: {([^}]*)}}$`)
	channel := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(channel)
		close(channel)
	}()
	var found []description
	for described := range channel {
		parts := form.FindStringSubmatch(described.String())
		if parts == nil || !strings.HasPrefix(parts[1], metricPrefix) {
			continue
		}
		labels := strings.FieldsFunc(parts[3], func(r rune) bool { return r == ',' })
		found = append(found, description{name: parts[1], help: parts[2], labels: labels})
	}
	return found
}

// kindIn returns the type of the metric, which only its collector tells: the registry
// hands it out to whoever registers the same metric again.
func (d description) kindIn(t *testing.T, registry *prometheus.Registry) string {
	t.Helper()
	again := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.name, Help: d.help}, d.labels)
	var registered prometheus.AlreadyRegisteredError
	assert.Assert(t, errors.As(registry.Register(again), &registered), d.name)
	switch registered.ExistingCollector.(type) {
	case *prometheus.CounterVec:
		return "counter"
	case *prometheus.GaugeVec:
		return "gauge"
	case *prometheus.HistogramVec:
		return "histogram"
	}
	t.Fatalf("%s: %T", d.name, registered.ExistingCollector)
	return ""
}

// TestServeMetrics holds the metrics of serve.
func TestServeMetrics(t *testing.T) {
	loaded, err := deployment.Settings("--name=node-1", "--zone=zone-1", "--object-api="+unreachable)
	assert.NilError(t, err)
	started, err := node.Start(loaded, zap.NewNop())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, started.Close()) }()
	found := forms{}
	found.addRegistered(t, started.Metrics().(*prometheus.Registry))
	golden.Assert(t, found.String(), "metrics-serve.golden")
}

// TestGatewayMetrics holds the metrics of a gateway: those on its page, and those that
// have no value before the first request.
func TestGatewayMetrics(t *testing.T) {
	started, err := gateway.Start(settings.Gateway{
		Name: "edge-1", Zone: "zone-1", CallerListen: loopback(), OperatorListen: loopback(), ReadyPath: "/ready",
		StoreURL: unreachable, ApplyLimit: time.Second, UndisturbedTime: time.Second, RevokeLimit: time.Second,
		QuotaWindow: time.Second, DrainTimeout: time.Millisecond, MemoryLimit: settings.Gibibyte,
	}, platform.GatewayDependencies(unreachable), zap.NewNop())
	assert.NilError(t, err)
	defer started.Drain()
	registry := prometheus.NewRegistry()
	peer.NewMetrics(registry)
	relay.NewMetrics(registry)
	quota.NewMetrics(registry)
	registry.MustRegister(telemetry.NewStoreCallsCounter())
	found := forms{}
	found.addRegistered(t, registry)
	found.addGathered(t, metricsPage(t, started.OperatorAddress()))
	golden.Assert(t, found.String(), "metrics-gateway.golden")
}

// TestStorageMetrics holds the metrics of a storage node in the same way.
func TestStorageMetrics(t *testing.T) {
	addresses := freeAddresses(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		ended <- storage.Run(ctx, settings.Storage{
			Name: "storage-1", Zone: "zone-1", PeerListen: addresses[0], OperatorListen: addresses[1],
			StoreURL: unreachable, ApplyLimit: time.Second, RevokeLimit: time.Second, Losses: 1, Shards: 1,
			DataFolder: t.TempDir(), MemoryLimit: settings.Gibibyte,
		}, platform.StorageDependencies(unreachable), zap.NewNop())
	}()
	defer func() {
		cancel()
		assert.NilError(t, <-ended)
	}()
	harness.Eventually(t, func() (bool, string) {
		connection, err := net.Dial("tcp", addresses[1].String())
		if err != nil {
			return false, err.Error()
		}
		return connection.Close() == nil, ""
	})
	registry := prometheus.NewRegistry()
	peer.NewMetrics(registry)
	registry.MustRegister(telemetry.NewStoreCallsCounter())
	found := forms{}
	found.addRegistered(t, registry)
	found.addGathered(t, metricsPage(t, addresses[1].String()))
	shards := prometheus.NewRegistry()
	shards.MustRegister(storage.NewShardMetrics(oneShard{}))
	found.addRegistered(t, shards)
	golden.Assert(t, found.String(), "metrics-storage.golden")
}

// oneShard implements storage.ShardReplica with one shard that has a view.
type oneShard struct{}

func (oneShard) Statuses() []shard.Status {
	return []shard.Status{{View: register.View{Epoch: shard.FirstEpoch}}}
}

func (oneShard) CopiedTotal() (turns, bytes uint64) { return 0, 0 }

// metricsPage returns the families on a daemon's page.
func metricsPage(t *testing.T, address string) []*dto.MetricFamily {
	t.Helper()
	answer, err := http.Get("http://" + address + telemetry.MetricsPath)
	assert.NilError(t, err)
	defer answer.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	assert.NilError(t, err)
	return slices.Collect(maps.Values(families))
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// freeAddresses returns different addresses that nobody listens on. An IP number of its
// own keeps other tests from taking them meanwhile.
func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	for range count {
		socket, err := net.Listen("tcp", "127.83.12.9:0")
		assert.NilError(t, err)
		defer socket.Close()
		addresses = append(addresses, netip.MustParseAddrPort(socket.Addr().String()))
	}
	return addresses
}
