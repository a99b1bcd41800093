package storage

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapPart of the memory limit is what the heap may grow to before it is
	// collected; the rest is for stacks, the mapped data file and bursts.
	heapPart = 0.4
	// least and most are the runtime's targets (GOGC) in percent of what is in
	// use. The least is the runtime's own default; beyond the most, collections
	// take so little that more memory would buy nothing.
	leastTarget = 100
	mostTarget  = 400
	// targetInterval is the pause between two looks at what is in use.
	targetInterval = time.Second
	// liveHeap is the name of what the last collection found in use.
	liveHeap = "/gc/heap/live:bytes"
)

// collectorTarget is the garbage collector's target for a heap of which so many
// bytes are in use. A storage node holds little and allocates much: at the
// default each small heap is walked many times a second, a quarter of a small
// machine's processor, while most of its memory lies unused.
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
