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

// WorkloadInterval is the pause between two lines about a node's work: short enough to
// tell the seconds of a failure apart, long enough to cost next to nothing (chosen, not
// measured).
const WorkloadInterval = 2 * time.Second

// allocatedBytes and collections are names of runtime/metrics.
const (
	allocatedBytes = "/gc/heap/allocs:bytes"
	collections    = "/gc/cycles/total:gc-cycles"
)

// Workload logs what a node did since the last such line: processor time, memory
// allocated, and how much each of the named counters grew. Logs are often all that is
// left of a failure, and without these lines an overloaded node can't be told from one
// that waits. It is a suture service.
type Workload struct {
	registry prometheus.Gatherer
	// counters are the names of the counters that are logged, with the field
	// that stands for each of them.
	counters map[string]string
	logger   *zap.Logger
}

// NewWorkload makes the service. Counters maps names of the registry's counters to the
// prefix of their fields, which the values of the counter's labels follow.
func NewWorkload(registry prometheus.Gatherer, counters map[string]string, logger *zap.Logger) *Workload {
	return &Workload{registry: registry, counters: counters, logger: logger}
}

// String names the service in the supervisor's messages.
func (w *Workload) String() string { return "workload" }

// Serve implements suture.Service.
func (w *Workload) Serve(ctx context.Context) error {
	ticker := time.NewTicker(WorkloadInterval)
	defer ticker.Stop()
	before := w.sample()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := w.sample()
			w.logger.Info("workload", now.since(before)...)
			before = now
		}
	}
}

// workSample is what a process had done at one moment.
type workSample struct {
	at          time.Time
	processor   time.Duration
	allocated   uint64
	collections uint64
	counted     map[string]float64
}

// sample reads what the process has done up to now.
func (w *Workload) sample() workSample {
	readings := []metrics.Sample{{Name: allocatedBytes}, {Name: collections}}
	metrics.Read(readings)
	return workSample{
		at: time.Now(), processor: ProcessorTime(), allocated: readings[0].Value.Uint64(),
		collections: readings[1].Value.Uint64(), counted: w.count(),
	}
}

// ProcessorTime is the time that the process has used of all cores; zero where the system
// doesn't tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// count reads the named counters. What can't be gathered is left out of the line.
func (w *Workload) count() map[string]float64 {
	families, err := w.registry.Gather()
	if err != nil {
		w.logger.Info("workload counted in part", zap.Error(err))
	}
	counted := make(map[string]float64)
	for _, family := range families {
		prefix, wanted := w.counters[family.GetName()]
		if !wanted {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted[fieldOf(prefix, metric.GetLabel())] += metric.GetCounter().GetValue()
		}
	}
	return counted
}

// fieldOf joins the prefix and the values of the labels. Of a path only the last
// part is taken: procedures are named by paths.
func fieldOf(prefix string, labels []*dto.LabelPair) string {
	parts := []string{prefix}
	for _, label := range labels {
		value := label.GetValue()
		parts = append(parts, strings.ReplaceAll(strings.ToLower(value[strings.LastIndex(value, "/")+1:]), " ", "_"))
	}
	return strings.Join(parts, "_")
}

// since are the fields of the line; counters that didn't grow are left out.
func (s workSample) since(before workSample) []zap.Field {
	const mebibyte = 1 << 20
	processor := s.processor - before.processor
	fields := []zap.Field{
		zap.Duration("processor", processor),
		zap.Float64("cores", math.Round(1000*processor.Seconds()/s.at.Sub(before.at).Seconds())/1000),
		zap.Uint64("allocated_mib", (s.allocated-before.allocated)/mebibyte),
		zap.Uint64("collections", s.collections-before.collections),
	}
	for name, value := range s.counted {
		if grown := value - before.counted[name]; grown > 0 {
			fields = append(fields, zap.Float64(name, grown))
		}
	}
	return fields
}
