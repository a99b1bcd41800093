package streamorigin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marblering/marblering/coordination/streamorigin"
)

// BenchmarkTable measures one record of a table that holds those of a busy storage node.
func BenchmarkTable(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	table := streamorigin.NewTable(func() time.Time { return now })
	b.ReportAllocs()
	for number := range b.N {
		if number%1000 == 0 {
			now = now.Add(time.Second)
		}
		table.Record(streamorigin.Record{Key: streamorigin.Key{Request: fmt.Sprint("request-", number), Program: "program"}, Origin: v1})
	}
	b.ReportMetric(float64(table.Len()), "records")
}
