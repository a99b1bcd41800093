package backend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
)

// inFlight is a request at a simulated instance.
type inFlight struct {
	assignment *backend.Assignment
	ends       time.Time
	waited     time.Duration
}

// simulateZones simulates gateways in three zones, each gateway with a pool of its own,
// and 15 instances per zone. The first zone has 37% of the callers. An instance processes
// twelve requests at once in the order of arrival. utilization is the load relative to the
// capacity of all instances. It returns the mean queueing time by the instance's zone.
func simulateZones(t *testing.T, utilization float64) map[string]time.Duration {
	t.Helper()
	const (
		instanceCount, slots = 45, 12
		work                 = 200 * time.Millisecond
		step                 = 2 * time.Millisecond
		length               = 20 * time.Second
	)
	zones := []string{"a", "b", "c"}
	gateways := map[string]int{"a": 25, "b": 16, "c": 16}
	shares := map[string]float64{"a": 0.37, "b": 0.30, "c": 0.33}
	now := time.Unix(1000, 0)
	start := now
	random := rand.New(rand.NewPCG(1, 1))
	var instances []backend.Instance
	for index := range instanceCount {
		instances = append(instances, backend.Instance{
			ID: fmt.Sprint("i-", index), Service: "s", Address: fmt.Sprint("10.0.0.", index, ":1"), Zone: zones[index%3], Capacity: slots,
		})
	}
	pools := make(map[string][]*backend.Pool)
	for zone, count := range gateways {
		for range count {
			pool := backend.NewPool(backend.EjectionPolicy(), func() time.Time { return now })
			pool.Replace(instances)
			pools[zone] = append(pools[zone], pool)
		}
	}
	perSecond := utilization * instanceCount * slots / work.Seconds()
	atInstance := make(map[string][]inFlight)
	waited, requestCount := make(map[string]time.Duration), make(map[string]int)
	arrivals := make(map[string]float64)
	for ; now.Sub(start) < length; now = now.Add(step) {
		for id, requests := range atInstance {
			var remaining []inFlight
			for _, request := range requests {
				if now.Before(request.ends) {
					remaining = append(remaining, request)
					continue
				}
				request.assignment.Release(backend.Completed{Wait: request.waited})
			}
			atInstance[id] = remaining
		}
		for _, zone := range zones {
			for arrivals[zone] += perSecond * shares[zone] * step.Seconds(); arrivals[zone] >= 1; arrivals[zone]-- {
				pool := pools[zone][random.IntN(len(pools[zone]))]
				assignment, err := pool.Acquire(backend.Query{Service: "s", Route: "r", Key: fmt.Sprint(random.Uint64())})
				assert.NilError(t, err)
				requests := atInstance[assignment.Instance.ID]
				starts := now
				if excess := len(requests) - slots; excess >= 0 {
					starts = requests[excess].ends
				}
				wait := starts.Sub(now)
				waited[assignment.Instance.Zone] += wait
				requestCount[assignment.Instance.Zone]++
				atInstance[assignment.Instance.ID] = append(requests, inFlight{assignment: assignment, ends: starts.Add(work), waited: wait + 20*time.Millisecond})
			}
		}
	}
	for zone := range waited {
		waited[zone] /= time.Duration(requestCount[zone])
	}
	return waited
}

// TestZonesShareTheLoad guards against overloading the zone with the most callers. At 90%
// of the capacity, requests there must not queue much longer than in the other zones.
func TestZonesShareTheLoad(t *testing.T) {
	waited := simulateZones(t, 0.9)
	t.Logf("mean queueing time by zone: %v", waited)
	for _, zone := range []string{"b", "c"} {
		assert.Assert(t, waited["a"] < 2*waited[zone]+10*time.Millisecond)
	}
	assert.Assert(t, waited["a"] < 200*time.Millisecond)
}
