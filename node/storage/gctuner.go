package storage

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// maxHeapFraction is the fraction of the memory limit to which the heap may grow
	// before a collection. The rest is for stacks, the mapped data file and bursts.
	maxHeapFraction = 0.4
	// minGCPercent and maxGCPercent limit the GC percentage (GOGC). The minimum is the
	// runtime's default. Above the maximum, collections already take little time.
	minGCPercent = 100
	maxGCPercent = 400
	// gcTuneInterval is the interval between two readings of the live heap.
	gcTuneInterval = time.Second
	// liveHeapMetric is the runtime metric of the heap that was live at the last
	// collection.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// gcPercent returns the GC percentage for the given size of the live heap, in bytes. A
// storage node allocates at a high rate with a small live heap, so the runtime's default
// would run many collections a second while most of the memory is unused.
func gcPercent(live, memoryLimit uint64) int {
	if live == 0 {
		return minGCPercent
	}
	available := maxHeapFraction*float64(memoryLimit) - float64(live)
	percent := int(100 * available / float64(live))
	return min(max(percent, minGCPercent), maxGCPercent)
}

// gcTuner adjusts the GC percentage to the live heap. It is a suture service.
type gcTuner struct {
	memoryLimit uint64
}

// String returns the name of the service in the supervisor's messages.
func (gcTuner) String() string { return "garbage collector tuner" }

// Serve implements suture.Service.
func (t gcTuner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(gcTuneInterval)
	defer ticker.Stop()
	samples := []metrics.Sample{{Name: liveHeapMetric}}
	current := 0
	for {
		metrics.Read(samples)
		// Set only on a change, since SetGCPercent stops the world.
		if target := gcPercent(samples[0].Value.Uint64(), t.memoryLimit); target != current {
			debug.SetGCPercent(target)
			current = target
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
