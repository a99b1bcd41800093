package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scaleZones are the zones of the largest installation.
const scaleZones = 13

// timedWorld runs a world by its messages' delays: hollow nodes that only have
// configuration. Processing takes no time in it.
type timedWorld struct {
	*world
	random *rand.Rand
	// nextPlan and nextGossip are the nodes' timers.
	nextPlan   []time.Time
	nextGossip []time.Time
}

func newTimedWorld(nodes, zones int) *timedWorld {
	w := &timedWorld{world: newWorld(nodes, zones, 0), random: rand.New(rand.NewPCG(3, 3))}
	for range nodes {
		w.nextPlan = append(w.nextPlan, w.now.Add(w.jitter(tick)))
		w.nextGossip = append(w.nextGossip, w.now.Add(w.jitter(time.Second)))
	}
	// A tenth of the nodes replicate; the others learn by relays and gossip.
	replicas := max(3, nodes/10)
	for shard := range replicas {
		set := ReplicaSet{Shard: uint32(shard)}
		for replica := range 3 {
			set.Members = append(set.Members, w.nodes[(shard+replica)%replicas].self.Member)
		}
		w.sets.Sets = append(w.sets.Sets, set)
	}
	return w
}

func (w *timedWorld) jitter(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// advance runs everything that happens until done says so or the time is over.
func (w *timedWorld) advance(length time.Duration, done func() bool) {
	end := w.now.Add(length)
	for !done() {
		index, due := w.earliest()
		if due.After(end) {
			break
		}
		if due.After(w.now) {
			w.now = due
		}
		w.runTimers()
		if index < 0 || w.tasks[index].due.After(w.now) {
			continue
		}
		w.run(index)
		w.planWoken()
	}
}

// earliest returns the task that is due first, -1 where a timer is.
func (w *timedWorld) earliest() (int, time.Time) {
	chosen, due := -1, w.now.Add(time.Hour)
	for node := range w.nodes {
		due = minTime(due, minTime(w.nextPlan[node], w.nextGossip[node]))
	}
	for index, task := range w.tasks {
		if task.due.Before(due) {
			chosen, due = index, task.due
		}
	}
	return chosen, due
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (w *timedWorld) runTimers() {
	for index, node := range w.nodes {
		if !w.nextPlan[index].After(w.now) {
			w.nextPlan[index] = w.now.Add(tick)
			w.plan(node)
		}
		if !w.nextGossip[index].After(w.now) {
			w.nextGossip[index] = w.now.Add(time.Second)
			other := w.nodes[w.random.IntN(len(w.nodes))]
			w.gossip(node, other)
			w.gossip(other, node)
		}
	}
}

// planWoken plans at once for the nodes whose loop would wake.
func (w *timedWorld) planWoken() {
	for _, node := range w.nodes {
		select {
		case <-node.agent.wake:
			w.plan(node)
		default:
		}
	}
}

// accept runs one change and returns when it was accepted and when every node
// had it.
func (w *timedWorld) accept(t testing.TB, number int) (accepted, everywhere time.Duration) {
	started := w.now
	change := Change{
		Key:  Key{KindModel, fmt.Sprintf("m%d", number)},
		Body: json.RawMessage(`{"context_tokens":1000,"default_max_tokens":10}`), CommandID: fmt.Sprint(number), Operator: "ann",
	}
	node := w.nodes[number%len(w.nodes)]
	var result *Accepted
	w.spawn(node, func() {
		answer, err := w.acceptor(node).Accept(context.Background(), change)
		assert.NilError(t, err)
		result, accepted = &answer, w.now.Sub(started)
	})
	w.advance(time.Minute, func() bool { return result != nil && w.allHave(result.Version) })
	assert.Assert(t, result != nil && w.allHave(result.Version))
	return accepted, w.now.Sub(started)
}

func (w *timedWorld) allHave(version uint64) bool {
	for _, node := range w.nodes {
		if node.holder.Version() < version {
			return false
		}
	}
	return true
}

func (w *timedWorld) readers() int {
	count := 0
	for _, node := range w.nodes {
		if node.agent.Reading() {
			count++
		}
	}
	return count
}

// TestFewReaders counts who watches the object API among 350 nodes that start
// at once and at first see only themselves, then the others one by one.
func TestFewReaders(t *testing.T) {
	const nodes = 350
	w := newTimedWorld(nodes, scaleZones)
	defer w.close()
	w.store.write(Key{KindNode, "n"}, json.RawMessage(`{}`))
	for _, node := range w.nodes {
		node.sees = map[string]bool{}
	}
	w.advance(DefaultSettings().Settle/2, func() bool { return false })
	for _, node := range w.nodes {
		node.sees = nil
	}
	w.advance(4*time.Second, func() bool { return false })
	w.advance(time.Minute, func() bool { return w.allHave(1) })
	expected := scaleZones * DefaultSettings().ReadersPerZone
	assert.Equal(t, w.readers(), expected)
	assert.Equal(t, w.store.peak, expected)
	assert.Equal(t, w.store.lists, expected)
	assert.Assert(t, w.allHave(1))

	// One reader of each zone dies: another takes over, and nobody else.
	for index := range scaleZones {
		for _, node := range w.nodes {
			if node.self.Zone == fmt.Sprintf("z%d", index) && node.agent.Reading() {
				w.restart(node)
				node.self.Leaving = true
				break
			}
		}
	}
	w.advance(4*time.Second, func() bool { return false })
	assert.Equal(t, w.readers(), expected)
}

// BenchmarkAcceptToInForce gives, in the modelled time of messages, how long a
// change takes to be accepted and to be in force at every node.
func BenchmarkAcceptToInForce(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{3, 3}, {12, 3}, {350, scaleZones}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			w := newTimedWorld(size.nodes, size.zones)
			defer w.close()
			w.store.write(Key{KindNode, "n"}, json.RawMessage(`{}`))
			w.advance(20*time.Second, func() bool { return false })
			var sumAccepted, sumEverywhere, worst time.Duration
			messages := w.messages
			for number := range b.N {
				accepted, everywhere := w.accept(b, number)
				sumAccepted += accepted
				sumEverywhere += everywhere
				worst = max(worst, everywhere)
				w.advance(5*time.Second, func() bool { return false })
			}
			count := float64(b.N)
			b.ReportMetric(sumAccepted.Seconds()*1e3/count, "model-ms-to-accepted")
			b.ReportMetric(sumEverywhere.Seconds()*1e3/count, "model-ms-to-everywhere")
			b.ReportMetric(worst.Seconds()*1e3, "model-ms-worst")
			b.ReportMetric(float64(w.messages-messages)/count, "messages/change")
			b.ReportMetric(float64(w.store.peak), "watchers-peak")
		})
	}
}
