package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/backend"
)

// BenchmarkAcquire acquires and releases requests of 100 programs at 45 instances.
func BenchmarkAcquire(b *testing.B) {
	clk := newClock()
	pool := newPool(clk, 45)
	keys := make([]string, 100)
	for index := range keys {
		keys[index] = fmt.Sprint("program-", index)
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		assignment, err := pool.Acquire(backend.Query{Service: "app", Route: "r", Key: keys[index%len(keys)]})
		if err != nil {
			b.Fatal(err)
		}
		assignment.Release(backend.Completed{Wait: 50 * time.Millisecond})
	}
}
