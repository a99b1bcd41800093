package backend

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/recent"
)

const (
	// usualGain is the weight of a new wait in the usual one, a moving average: some 20
	// requests make a change of the service the usual (chosen, not measured).
	usualGain = 0.05
	// usualClamp times the usual wait is the most that a single wait counts for (chosen,
	// not measured).
	usualClamp = 4
	// patienceFactor times the usual wait is how long an instance may say nothing before
	// it counts as stalled, but never less than minPatience, and firstPatience where
	// nothing is known yet (chosen, not measured one by one; what passing over stalled
	// instances and ejection bring together stands with the figures of ejection).
	patienceFactor = 4
	minPatience    = 250 * time.Millisecond
	firstPatience  = time.Second
	// usualIdle is how long the usual wait of a route without requests is kept (chosen,
	// not measured).
	usualIdle = time.Minute
)

// health judges the instances of one service against each other. The usual wait
// follows the service as a whole: where all instances are slow, the service is
// overloaded and none of them is at fault. It is safe for concurrent use.
type health struct {
	ejector *limit.Ejector

	mutex sync.Mutex
	// usual is the usual wait of each route; zero before its first answer.
	usual *recent.Map[time.Duration]
}

func newHealth(policy limit.EjectionPolicy) *health {
	unknown := func(time.Time) time.Duration { return 0 }
	return &health{ejector: limit.NewEjector(policy), usual: recent.New(usualIdle, unknown)}
}

// patienceFor decides how long an instance may say nothing about a request whose usual
// wait is known; zero for not yet.
func patienceFor(usual time.Duration) time.Duration {
	if usual == 0 {
		return firstPatience
	}
	return max(patienceFactor*usual, minPatience)
}

// nextUsual returns the usual wait after a further wait. A single long wait counts for
// little, so that a stalled instance doesn't make stalls the usual.
func nextUsual(usual, wait time.Duration) time.Duration {
	if usual == 0 {
		return wait
	}
	bounded := min(wait, usualClamp*usual)
	return usual + time.Duration(usualGain*float64(bounded-usual))
}

// patience is how long an instance may say nothing about a request of the route.
func (h *health) patience(route string, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return patienceFor(*h.usual.Get(route, now))
}

// expect takes a wait in, and returns what was the usual one of the route before it; the
// wait itself where it is the first.
func (h *health) expect(route string, wait time.Duration, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	usual := h.usual.Get(route, now)
	before := *usual
	*usual = nextUsual(before, wait)
	if before == 0 {
		return wait
	}
	return before
}

// observe takes in how a request of the route ended, and returns the instance's health
// after it. An error of the instance counts as a failure. A wait counts by how it
// compares with the usual one of the route, also where the answer was given up.
func (h *health) observe(instance, route string, ending Ending, now time.Time) limit.EngineHealth {
	switch e := ending.(type) {
	case Answered:
		outcome := limit.Outcome{Failed: e.Faulty, Took: e.Wait}
		if !e.Faulty {
			outcome.Expected = h.expect(route, e.Wait, now)
		}
		return h.ejector.Observe(instance, outcome, now)
	case Broken:
		return h.ejector.Observe(instance, limit.Outcome{Failed: true}, now)
	case Waited:
		return h.observeWait(instance, route, e.Wait, now)
	case Unjudged:
	}
	return h.ejector.Health(instance, now)
}

// observeWait takes in that an answer didn't come within the wait. A client that leaves
// before the usual wait has passed says nothing of the instance.
func (h *health) observeWait(instance, route string, wait time.Duration, now time.Time) limit.EngineHealth {
	if wait < h.patience(route, now)/patienceFactor {
		return h.ejector.Health(instance, now)
	}
	expected := h.expect(route, wait, now)
	return h.ejector.Observe(instance, limit.Outcome{Expected: expected, Took: wait}, now)
}
