package storage

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapPart is the part of the memory limit that the heap may grow to before it is
	// collected; the rest is for stacks, the mapped data file and bursts. Chosen, not
	// measured.
	heapPart = 0.4
	// leastTarget and mostTarget bound the runtime's target (GOGC), in percent of what
	// is in use. The least is the runtime's own default. Beyond the most, collections
	// take so little time that more memory would gain nothing. Chosen, not measured.
	leastTarget = 100
	mostTarget  = 400
	// targetInterval is the pause between two readings of what is in use. Chosen, not
	// measured.
	targetInterval = time.Second
	// liveHeap is the name of what the last collection found in use.
	liveHeap = "/gc/heap/live:bytes"
)

// collectorTarget returns the garbage collector's target for a heap of which live bytes
// are in use. A storage node keeps little and allocates much: with the default target its
// small heap is collected many times a second, which takes a quarter of a small machine's
// processor, while most of its memory is unused.
func collectorTarget(live, memoryLimit uint64) int {
	if live == 0 {
		return leastTarget
	}
	room := heapPart*float64(memoryLimit) - float64(live)
	percent := int(100 * room / float64(live))
	return min(max(percent, leastTarget), mostTarget)
}

// collectorTuner keeps the collector's target. It is a suture service.
type collectorTuner struct {
	memoryLimit uint64
}

// String names the service in the supervisor's messages.
func (collectorTuner) String() string { return "collector tuner" }

// Serve implements suture.Service.
func (c collectorTuner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(targetInterval)
	defer ticker.Stop()
	reading := []metrics.Sample{{Name: liveHeap}}
	current := 0
	for {
		metrics.Read(reading)
		// Setting it stops all threads for a moment.
		if target := collectorTarget(reading[0].Value.Uint64(), c.memoryLimit); target != current {
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
