package scale

import (
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/marblering/marblering/lab/deployment"
)

// sample is what a process full of nodes has used so far.
type sample struct {
	at        time.Time
	processor time.Duration
	// bytes by other end, both directions, as the nodes count them.
	bytes map[string]float64
	// memory is heap in use and stacks after a collection.
	memory     uint64
	goroutines int
}

const wireMetric = "marblering_wire_bytes_total"

func takeSample(system *deployment.Deployment) (sample, error) {
	bytes, err := wireBytes(system)
	if err != nil {
		return sample{}, err
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return sample{
		at:         time.Now(),
		processor:  processorTime(),
		bytes:      bytes,
		memory:     memory.HeapInuse + memory.StackInuse,
		goroutines: runtime.NumGoroutine(),
	}, nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func wireBytes(system *deployment.Deployment) (map[string]float64, error) {
	total := make(map[string]float64)
	for _, node := range system.Nodes {
		families, err := node.Metrics().Gather()
		if err != nil {
			return nil, err
		}
		for _, family := range families {
			if family.GetName() != wireMetric {
				continue
			}
			for _, metric := range family.GetMetric() {
				for _, label := range metric.GetLabel() {
					if label.GetName() == "end" {
						total[label.GetValue()] += metric.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return total, nil
}

// Usage is what one node's control used on average over a window.
type Usage struct {
	Nodes    int
	Engines  int
	Tenants  int
	Programs int
	// ChangesPerSecond of the configuration during the window.
	ChangesPerSecond float64
	// Core is the share of one processor core; it includes the other end of the
	// node's requests to engines and to the object API, which run in the same
	// process here.
	Core float64
	// BytesPerSecond by other end, both directions.
	BytesPerSecond map[string]float64
	// MemoryMB is the node's part of the process's heap and stacks.
	MemoryMB   float64
	Goroutines float64
}

// TotalBytes is the sum over all other ends.
func (u Usage) TotalBytes() float64 {
	total := 0.0
	for _, bytes := range u.BytesPerSecond {
		total += bytes
	}
	return total
}

func usageBetween(before, after sample, nodes int) Usage {
	seconds := after.at.Sub(before.at).Seconds()
	usage := Usage{
		Nodes:          nodes,
		Core:           (after.processor - before.processor).Seconds() / seconds / float64(nodes),
		BytesPerSecond: make(map[string]float64),
		MemoryMB:       float64(after.memory) / float64(nodes) / (1 << 20),
		Goroutines:     float64(after.goroutines) / float64(nodes),
	}
	for end, bytes := range after.bytes {
		usage.BytesPerSecond[strings.TrimSpace(end)] = (bytes - before.bytes[end]) / seconds / float64(nodes)
	}
	return usage
}
