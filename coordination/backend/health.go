package backend

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/recent"
)

const (
	// baselineSmoothing is the weight of a new wait in the usual one, a moving average: some 20
	// requests make a change of the service the usual (chosen, not measured).
	baselineSmoothing = 0.05
	// maxSampleRatio times the usual wait is the most that a single wait counts for (chosen,
	// not measured).
	maxSampleRatio = 4
	// stallFactor times the usual wait is how long an instance may say nothing before
	// it counts as stalled, but never less than minPatience, and firstPatience where
	// nothing is known yet (chosen, not measured one by one; what passing over stalled
	// instances and ejection bring together stands with the figures of ejection).
	stallFactor         = 4
	minStallTimeout     = 250 * time.Millisecond
	initialStallTimeout = time.Second
	// baselineIdleTime is how long the usual wait of a route without requests is kept (chosen,
	// not measured).
	baselineIdleTime = time.Minute
)

// serviceHealth judges the instances of one service against each other. The usual wait
// follows the service as a whole: where all instances are slow, the service is
// overloaded and none of them is at fault. It is safe for concurrent use.
type serviceHealth struct {
	ejector *limit.Ejector

	mutex sync.Mutex
	// baselines is the baselines wait of each route; zero before its first answer.
	baselines *recent.Map[time.Duration]
}

func newServiceHealth(policy limit.EjectionPolicy) *serviceHealth {
	unknown := func(time.Time) time.Duration { return 0 }
	return &serviceHealth{ejector: limit.NewEjector(policy), baselines: recent.New(baselineIdleTime, unknown)}
}

// stallTimeoutFor decides how long an instance may say nothing about a request whose usual
// wait is known; zero for not yet.
func stallTimeoutFor(usual time.Duration) time.Duration {
	if usual == 0 {
		return initialStallTimeout
	}
	return max(stallFactor*usual, minStallTimeout)
}

// updateBaseline returns the usual wait after a further wait. A single long wait counts for
// little, so that a stalled instance doesn't make stalls the usual.
func updateBaseline(usual, wait time.Duration) time.Duration {
	if usual == 0 {
		return wait
	}
	bounded := min(wait, maxSampleRatio*usual)
	return usual + time.Duration(baselineSmoothing*float64(bounded-usual))
}

// stallTimeout is how long an instance may say nothing about a request of the route.
func (h *serviceHealth) stallTimeout(route string, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return stallTimeoutFor(*h.baselines.Get(route, now))
}

// recordWait takes a wait in, and returns what was the usual one of the route before it; the
// wait itself where it is the first.
func (h *serviceHealth) recordWait(route string, wait time.Duration, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	usual := h.baselines.Get(route, now)
	before := *usual
	*usual = updateBaseline(before, wait)
	if before == 0 {
		return wait
	}
	return before
}

// observe takes in how a request of the route ended, and returns the instance's health
// after it. An error of the instance counts as a failure. A wait counts by how it
// compares with the usual one of the route, also where the answer was given up.
func (h *serviceHealth) observe(instance, route string, ending Ending, now time.Time) limit.EngineHealth {
	switch e := ending.(type) {
	case Answered:
		outcome := limit.Outcome{Failed: e.Faulty, Took: e.Wait}
		if !e.Faulty {
			outcome.Expected = h.recordWait(route, e.Wait, now)
		}
		return h.ejector.Observe(instance, outcome, now)
	case Broken:
		return h.ejector.Observe(instance, limit.Outcome{Failed: true}, now)
	case Waited:
		return h.observeAbandoned(instance, route, e.Wait, now)
	case Unjudged:
	}
	return h.ejector.Health(instance, now)
}

// observeAbandoned takes in that an answer didn't come within the wait. A client that leaves
// before the usual wait has passed says nothing of the instance.
func (h *serviceHealth) observeAbandoned(instance, route string, wait time.Duration, now time.Time) limit.EngineHealth {
	if wait < h.stallTimeout(route, now)/stallFactor {
		return h.ejector.Health(instance, now)
	}
	expected := h.recordWait(route, wait, now)
	return h.ejector.Observe(instance, limit.Outcome{Expected: expected, Took: wait}, now)
}
