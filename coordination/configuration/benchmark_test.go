package configuration

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

// largeObjects is the configuration of the largest installation: its tenants,
// models, pools and runners.
func largeObjects() []Object {
	bodies := map[Key]string{}
	for index := range 3300 {
		bodies[Key{KindTenant, fmt.Sprintf("t%d", index)}] = fmt.Sprintf(`{"api_key_sha256":["%064x"],"limits":{"max_concurrent_calls":8}}`, index)
	}
	for index := range 3 {
		bodies[Key{KindModel, fmt.Sprintf("m%d", index)}] = `{"context_tokens":310000,"default_max_tokens":512}`
	}
	for index := range 13 {
		bodies[Key{KindPool, fmt.Sprintf("p%d", index)}] = fmt.Sprintf(`{"zones":["z%d"],"models":["m0","m1","m2"],"roles":["mixed"]}`, index)
	}
	for index := range 3200 {
		zone := index % 13
		bodies[Key{KindEngine, fmt.Sprintf("e%d", index)}] = fmt.Sprintf(`{"address":"http://10.1.%d.%d:8000","zone":"z%d","generation":"g1","pool":"p%d","models":["m0"]}`, index/250, index%250+1, zone, zone)
	}
	return objectsOf(1, bodies)
}

// BenchmarkLargeConfiguration measures one change to, and the memory of, the
// configuration of the largest installation.
func BenchmarkLargeConfiguration(b *testing.B) {
	objects := largeObjects()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	snapshot, err := (*Snapshot)(nil).Apply(1, objects)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("change", func(b *testing.B) {
		node := replica{snapshot: snapshot, seen: 1}
		for number := range b.N {
			version := uint64(number + 2)
			node.learnEvent(Event{Revision: version, Object: &Object{Key: Key{KindNode, "n"}, Version: version, Body: json.RawMessage(`{}`)}})
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes-beside-bodies")
	})
	b.Run("first", func(b *testing.B) {
		for range b.N {
			var node replica
			node.learnList(Listing{Revision: 1, Objects: objects}, false)
		}
	})
	b.Run("plan", func(b *testing.B) {
		w := newWorld(350, scaleZones, 0)
		defer w.close()
		w.nodes[0].agent.replica.snapshot = snapshot
		for range b.N {
			w.nodes[0].agent.plan()
		}
	})
}
