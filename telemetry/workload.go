package telemetry

import (
	"context"
	"math"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
)

// WorkloadInterval is the time between two workload lines: short enough to follow a failure
// closely, long enough to cost almost nothing.
const WorkloadInterval = 2 * time.Second

// Names of metrics in runtime/metrics.
const (
	heapAllocsMetric = "/gc/heap/allocs:bytes"
	gcCyclesMetric   = "/gc/cycles/total:gc-cycles"
)

// Workload periodically logs what the process did since its previous line: CPU time used,
// memory allocated, and the increase of each selected counter. These lines let a reader of
// the logs tell an overloaded node from one that waits. It is a suture service.
type Workload struct {
	registry prometheus.Gatherer
	// counters maps the names of the logged counters to the prefixes of their fields.
	counters map[string]string
	logger   *zap.Logger
}

// NewWorkload returns a Workload that reads its counters from registry. The keys of counters
// are names of counters; the values are the prefixes of their log fields, to which the label
// values are appended.
func NewWorkload(registry prometheus.Gatherer, counters map[string]string, logger *zap.Logger) *Workload {
	return &Workload{registry: registry, counters: counters, logger: logger}
}

// String returns the service name that the supervisor logs.
func (w *Workload) String() string { return "workload" }

// Serve implements suture.Service.
func (w *Workload) Serve(ctx context.Context) error {
	ticker := time.NewTicker(WorkloadInterval)
	defer ticker.Stop()
	previous := w.sample()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			current := w.sample()
			w.logger.Info("workload", current.fieldsSince(previous)...)
			previous = current
		}
	}
}

// workloadSample holds the process's cumulative figures at one time.
type workloadSample struct {
	at         time.Time
	cpuTime    time.Duration
	heapAllocs uint64
	gcCycles   uint64
	counters   map[string]float64
}

// sample reads the current figures.
func (w *Workload) sample() workloadSample {
	samples := []metrics.Sample{{Name: heapAllocsMetric}, {Name: gcCyclesMetric}}
	metrics.Read(samples)
	return workloadSample{
		at: time.Now(), cpuTime: CPUTime(), heapAllocs: samples[0].Value.Uint64(),
		gcCycles: samples[1].Value.Uint64(), counters: w.readCounters(),
	}
}

// CPUTime returns the user and system CPU time that the process has used on all cores, or
// zero if the system doesn't report it.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// readCounters returns the values of the selected counters by field name. Counters that
// can't be gathered are left out.
func (w *Workload) readCounters() map[string]float64 {
	families, err := w.registry.Gather()
	if err != nil {
		w.logger.Info("workload counters incomplete", zap.Error(err))
	}
	counters := make(map[string]float64)
	for _, family := range families {
		prefix, wanted := w.counters[family.GetName()]
		if !wanted {
			continue
		}
		for _, metric := range family.GetMetric() {
			counters[fieldName(prefix, metric.GetLabel())] += metric.GetCounter().GetValue()
		}
	}
	return counters
}

// fieldName joins the prefix and the label values with underscores. Of a value that is a
// path, such as the name of a procedure, it uses the last segment only.
func fieldName(prefix string, labels []*dto.LabelPair) string {
	parts := []string{prefix}
	for _, label := range labels {
		value := label.GetValue()
		parts = append(parts, strings.ReplaceAll(strings.ToLower(value[strings.LastIndex(value, "/")+1:]), " ", "_"))
	}
	return strings.Join(parts, "_")
}

// fieldsSince returns the log fields with the changes since previous. Counters that didn't
// increase are left out.
func (s workloadSample) fieldsSince(previous workloadSample) []zap.Field {
	const mebibyte = 1 << 20
	cpuTime := s.cpuTime - previous.cpuTime
	fields := []zap.Field{
		zap.Duration("processor", cpuTime),
		zap.Float64("cores", math.Round(1000*cpuTime.Seconds()/s.at.Sub(previous.at).Seconds())/1000),
		zap.Uint64("allocated_mib", (s.heapAllocs-previous.heapAllocs)/mebibyte),
		zap.Uint64("collections", s.gcCycles-previous.gcCycles),
	}
	for name, value := range s.counters {
		if increase := value - previous.counters[name]; increase > 0 {
			fields = append(fields, zap.Float64(name, increase))
		}
	}
	return fields
}
