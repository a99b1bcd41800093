package scale

import (
	"bytes"
	"math"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/telemetry"
)

// sample is what a process full of nodes has used so far.
type sample struct {
	At        time.Time
	Processor time.Duration
	// Nodes holds the bytes of each node, as it counts them itself.
	Nodes []nodeBytes
	// Memory is heap in use and stacks after a collection, Resident what the
	// process has of the machine's memory before it.
	Memory     uint64
	Resident   uint64
	Goroutines int
}

// nodeBytes are the bytes of one node by other end, both directions.
type nodeBytes map[string]float64

// Metrics that are read of the nodes.
const (
	wireMetric    = "marblering_wire_bytes_total"
	versionMetric = "marblering_configuration_version"
	shardsMetric  = "marblering_replicated_shards"
	endLabel      = "end"
	callerEnd     = "caller"
)

// takeSample reads the processor time before its own work, so that little of
// that falls into the window.
func takeSample(system *deployment.Deployment) (sample, error) {
	taken := sample{At: time.Now(), Processor: telemetry.ProcessorTime(), Goroutines: runtime.NumGoroutine()}
	var err error
	if taken.Resident, err = residentMemory(); err != nil {
		return sample{}, err
	}
	for index := range system.Nodes {
		counted, err := wireBytes(system, index)
		if err != nil {
			return sample{}, err
		}
		taken.Nodes = append(taken.Nodes, counted)
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	taken.Memory = memory.HeapInuse + memory.StackInuse
	return taken, nil
}

// residentMemory is that of this process in bytes, by proc(5).
func residentMemory() (uint64, error) {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, merry.Prepend(err, "reading the resident memory")
	}
	fields := bytes.Fields(content)
	if len(fields) < 2 {
		return 0, merry.Errorf("reading the resident memory: unexpected content %q", content)
	}
	pages, err := strconv.ParseUint(string(fields[1]), 10, 64)
	return pages * uint64(os.Getpagesize()), merry.Prepend(err, "reading the resident memory")
}

func wireBytes(system *deployment.Deployment, index int) (nodeBytes, error) {
	families, err := system.Nodes[index].Metrics().Gather()
	if err != nil {
		return nil, err
	}
	total := make(nodeBytes)
	for _, family := range families {
		if family.GetName() != wireMetric {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == endLabel {
					total[label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return total, nil
}

// oldestVersion is the oldest configuration version in force at a node.
func oldestVersion(system *deployment.Deployment) (uint64, error) {
	oldest := uint64(math.MaxUint64)
	err := eachGauge(system, versionMetric, func(value float64) { oldest = min(oldest, uint64(value)) })
	return oldest, err
}

// replicaCopies counts the replicas of shards that the nodes keep.
func replicaCopies(system *deployment.Deployment) (int, error) {
	copies := 0
	err := eachGauge(system, shardsMetric, func(value float64) { copies += int(value) })
	return copies, err
}

// eachGauge visits the value of one gauge at every node.
func eachGauge(system *deployment.Deployment, name string, visit func(value float64)) error {
	for _, node := range system.Nodes {
		families, err := node.Metrics().Gather()
		if err != nil {
			return err
		}
		for _, family := range families {
			if family.GetName() == name {
				visit(family.GetMetric()[0].GetGauge().GetValue())
			}
		}
	}
	return nil
}
