package integration

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/harness"
)

var (
	stopSoakSeeds    = flag.Int("stopsoak.seeds", 2, "number of seeds of TestRequestsAreAnsweredAcrossStops")
	stopSoakFirst    = flag.Uint64("stopsoak.first", 1, "first of these seeds")
	stopSoakTime     = flag.Duration("stopsoak.time", 8*time.Second, "how long faults begin for each seed")
	stopSoakGateways = flag.Int("stopsoak.gateways", 4, "number of gateways, two at least")
	stopSoakStorage  = flag.Int("stopsoak.storage", 3, "number of storage nodes, three at least")
	stopSoakClients  = flag.Int("stopsoak.clients", 40, "number of clients")
)

// stopSoakDrain is the drain timeout of odd seeds; even ones have a shorter one.
const stopSoakDrain = 8 * time.Second

// TestRequestsAreAnsweredAcrossStops guards against requests that a gateway reads and ends
// without a response, and against turns that are lost, while signals, changed limits and,
// in some seeds, unplanned faults come in series and overlap. All processes are killed at
// the end. Clients use open connections until they are closed.
func TestRequestsAreAnsweredAcrossStops(t *testing.T) {
	for index := range *stopSoakSeeds {
		seed := *stopSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakStops(t, seed) })
	}
}

func soakStops(t *testing.T, seed uint64) {
	plan := newStopPlan(seed, *stopSoakGateways, *stopSoakStorage, *stopSoakTime)
	timeout := (plan.drainTimeout * 5 / 8).Truncate(time.Millisecond)
	var clients *keptClients
	s := newSoakSystem(t, seed, soakLayout{
		gateways: *stopSoakGateways, storageNodes: *stopSoakStorage, drainTimeout: plan.drainTimeout,
		configuration:       stopSoakConfiguration(timeout),
		beforeConfiguration: func(s *soakSystem) { clients = newKeptClients(s, seed, *stopSoakClients, timeout) },
	})
	for _, service := range plan.services() {
		s.addInstanceOf(service)
	}
	clients.start()
	clients.awaitTurns(t)
	run := &stopRun{soakSystem: s, plan: plan, version: 1}
	run.run()
	clients.stop()
	run.killAll()
	late := clients.continueAfterFault(time.Now().Add(recoveryTime))
	clients.wait()
	verdict := newStopVerdict(run, clients)
	verdict.judge()
	t.Logf("drain timeout %v, mixed %v, %d stops, final wipe %d: %v", plan.drainTimeout, plan.isMixed, run.stops, plan.finalWipe, verdict.counts)
	for _, note := range verdict.notes {
		t.Log(note)
	}
	for _, fault := range append(append(run.failures, late...), verdict.faults...) {
		t.Error(fault)
	}
	assert.Assert(t, verdict.counts[harness.EndedWhole.String()] > 0)
}

// awaitTurns waits until as many turns were answered whole as there are clients.
func (c *keptClients) awaitTurns(t *testing.T) {
	t.Helper()
	harness.Eventually(t, func() (bool, string) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		turns := 0
		for _, request := range c.requests {
			if request.kind == keptTurn && request.Ending == harness.EndedWhole && request.Status == 200 {
				turns++
			}
		}
		return turns >= len(c.clients), "too few turns are served"
	})
}

// continueAfterFault lets each client go on from its last turn. It describes those that
// aren't served in time.
func (c *keptClients) continueAfterFault(until time.Time) (late []string) {
	last := make([]*keptRequest, len(c.clients))
	var running sync.WaitGroup
	for index, client := range c.clients {
		running.Go(func() { last[index] = client.continueAfterFault(until) })
	}
	running.Wait()
	for index, request := range last {
		switch {
		case c.clients[index].last == nil:
		case request == nil || request.Ending != harness.EndedWhole || request.Status != 200:
			late = append(late, fmt.Sprintf("recovery: client %d isn't served: %v", index, request))
		}
	}
	return late
}

// services returns the instances, of which those of long and bulk outlast a stop.
func (p *stopPlan) services() []soakService {
	app := soakService{name: "app", version: "v1", events: soakEvents, pause: soakEventPause}
	slow, long := app, app
	slow.pause = p.drainTimeout * 11 / 20 / soakEvents
	long.name, long.pause = "long", p.drainTimeout*3/2/soakEvents
	plain := soakService{name: "plain", version: "v1", pause: 100 * time.Millisecond}
	slowPlain := plain
	slowPlain.pause = p.drainTimeout * 2 / 5
	// More than the buffers of the connections hold.
	bulk := soakService{name: "bulk", version: "v1", events: 400, pause: 5 * time.Millisecond, padding: 60 << 10}
	return []soakService{app, app, app, app, app, slow, slow, long, long, plain, plain, slowPlain, bulk}
}

func stopSoakConfiguration(timeout time.Duration) map[string]any {
	route := func(name, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": timeout.Milliseconds(), "attempts": 2,
		}
	}
	turns := route("turns", "stream", "app", timeout)
	turns["retain"], turns["retention_s"] = true, 600
	engine := map[string]any{"stream_stride": 25}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			turns, route("calls", "unsafe", "plain", timeout), route("reads", "safe", "plain", timeout),
			route("long", "stream", "long", longTimeout), route("bulk", "stream", "bulk", longTimeout),
		},
		"services": []map[string]any{
			{"name": "app", "engine": engine}, {"name": "long", "engine": engine}, {"name": "bulk", "engine": engine}, {"name": "plain"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
