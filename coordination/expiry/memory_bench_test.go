package expiry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// BenchmarkIndexMemory reports the memory of the index for each stored turn.
func BenchmarkIndexMemory(b *testing.B) {
	const lines, turnsOfLine = 5000, 20
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		known := newIndex(time.Now())
		for line := range lines {
			var ancestors []string
			for number := range turnsOfLine {
				id := fmt.Sprintf("%08x%08x", line, number)
				known.add(uint32(line%16), id, &statev1.RetainedTurn{Ancestors: ancestors}, time.Now(), time.Now())
				ancestors = append(ancestors, id)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/lines/turnsOfLine, "B/turn")
		runtime.KeepAlive(known)
	}
}
