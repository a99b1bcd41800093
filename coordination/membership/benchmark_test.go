package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

var benchmarkSizes = []int{3, 12, 350}

// BenchmarkIdleSecond reports, per node and second without changes, the CPU time
// including message encoding but not HTTP, and the bytes sent and received.
func BenchmarkIdleSecond(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			s := newCluster(size)
			s.encode = true
			s.resetTraffic()
			seconds := 0
			for b.Loop() {
				s.run(time.Second)
				seconds++
			}
			reportNodeSecond(b, s, seconds)
		})
	}
}

// BenchmarkChurnSecond reports the same figures while a node restarts every two
// seconds.
func BenchmarkChurnSecond(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			s := newCluster(size)
			s.encode = true
			s.resetTraffic()
			seconds := 0
			for b.Loop() {
				if seconds%2 == 0 {
					s.start(s.nodes[seconds%size])
				}
				s.run(time.Second)
				seconds++
			}
			reportNodeSecond(b, s, seconds)
		})
	}
}

func reportNodeSecond(b *testing.B, s *simulation, seconds int) {
	mean, highest := s.traffic(time.Duration(seconds) * time.Second)
	processor := b.Elapsed().Seconds() / float64(seconds) / float64(len(s.nodes))
	b.ReportMetric(mean, "B/s/node")
	b.ReportMetric(highest, "B/s/highest-node")
	b.ReportMetric(processor*1e6, "us/s/node")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConvergence reports in virtual milliseconds how long a leaving mark, a node
// failure and the start of a cluster take to reach all nodes.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range benchmarkSizes {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%v", size, loss), func(b *testing.B) {
				for b.Loop() {
					reportConvergence(b, size, loss)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func reportConvergence(b *testing.B, size int, loss float64) {
	s := newCluster(size)
	s.loss = loss
	node := s.nodes[2].identity.Node
	s.act(s.nodes[2], func(g *Gossip) { g.SetLeaving(true) })
	leaving, _ := s.runUntil(time.Minute, s.leavingEverywhere(node))
	s.run(10 * time.Second)
	failed := s.nodes[1]
	failed.running = false
	failure, _ := s.runUntil(time.Minute, s.goneEverywhere(failed.identity.Incarnation))

	fresh := newSimulation(uint64(size), size, min(size, 13))
	fresh.loss = loss
	start, _ := fresh.runUntil(5*time.Minute, fresh.viewsComplete)
	mean, highest := fresh.traffic(start)
	b.ReportMetric(milliseconds(leaving), "leaving-ms")
	b.ReportMetric(milliseconds(failure), "death-ms")
	b.ReportMetric(milliseconds(start), "start-ms")
	b.ReportMetric(mean, "start-B/s/node")
	b.ReportMetric(highest, "start-B/s/highest-node")
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// BenchmarkHealthyLoss reports suspicions and false failure detections per node
// and hour while messages are lost.
func BenchmarkHealthyLoss(b *testing.B) {
	for _, loss := range []float64{0.02, 0.05, 0.1, 0.2} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			s := newCluster(50)
			s.loss = loss
			minutes := 0
			for b.Loop() {
				s.run(time.Minute)
				minutes++
			}
			deaths := 0
			for _, node := range s.nodes {
				deaths += node.leftEvents
			}
			hours := float64(minutes*len(s.nodes)) / 60
			b.ReportMetric(float64(s.suspects)/hours, "suspicions/node-hour")
			b.ReportMetric(float64(deaths)/hours, "false-deaths/node-hour")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// encoded marshals message and unmarshals the result into another message, as
// the network transport does.
func encoded[M proto.Message](message M, into M) M {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		panic(err)
	}
	return into
}
