package backend

import (
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/recent"
)

const (
	// baselineSmoothing is the weight of a new sample in the moving average of waits. After
	// about 20 requests a lasting change of the service has become its baseline.
	baselineSmoothing = 0.05
	// maxSampleRatio caps a single sample at this multiple of the baseline.
	maxSampleRatio = 4
	// stallFactor is the ratio of the stall timeout to the baseline wait.
	stallFactor     = 4
	minStallTimeout = 250 * time.Millisecond
	// initialStallTimeout applies until the route has a baseline.
	initialStallTimeout = time.Second
	// baselineIdleTime is how long the baseline of a route without requests is kept.
	baselineIdleTime = time.Minute
)

// serviceHealth compares the instances of one service with each other. The baselines
// follow the whole service: if all instances are slow, the service is overloaded and none
// of them is at fault. It is safe for concurrent use.
type serviceHealth struct {
	ejector *limit.Ejector

	mutex sync.Mutex
	// baselines holds the moving average of waits by route; zero before the first answer.
	baselines *recent.Map[time.Duration]
}

func newServiceHealth(policy limit.EjectionPolicy) *serviceHealth {
	noBaseline := func(time.Time) time.Duration { return 0 }
	return &serviceHealth{ejector: limit.NewEjector(policy), baselines: recent.New(baselineIdleTime, noBaseline)}
}

// stallTimeoutFor returns how long a request may make no progress before its instance
// counts as stalled. The baseline is zero if none is known yet.
func stallTimeoutFor(baseline time.Duration) time.Duration {
	if baseline == 0 {
		return initialStallTimeout
	}
	return max(stallFactor*baseline, minStallTimeout)
}

// nextBaseline adds a wait to the moving average. The wait is capped, so that a stalled
// instance doesn't raise the baseline of its service.
func nextBaseline(baseline, wait time.Duration) time.Duration {
	if baseline == 0 {
		return wait
	}
	bounded := min(wait, maxSampleRatio*baseline)
	return baseline + time.Duration(baselineSmoothing*float64(bounded-baseline))
}

// stallTimeout returns the current stall timeout of the route.
func (h *serviceHealth) stallTimeout(route string, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return stallTimeoutFor(*h.baselines.Get(route, now))
}

// recordWait adds a wait to the route's baseline and returns the baseline before it, or
// the wait itself if it is the first.
func (h *serviceHealth) recordWait(route string, wait time.Duration, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	baseline := h.baselines.Get(route, now)
	previous := *baseline
	*baseline = nextBaseline(previous, wait)
	if previous == 0 {
		return wait
	}
	return previous
}

// observe records how a request of the route ended and returns the instance's health
// afterwards. Errors of the instance count as failures. Waits, including those of
// abandoned requests, are compared with the baseline of the route.
func (h *serviceHealth) observe(instance, route string, outcome Outcome, now time.Time) limit.EngineHealth {
	switch e := outcome.(type) {
	case Completed:
		observed := limit.Outcome{Failed: e.ServerError, Duration: e.Wait}
		if !e.ServerError {
			observed.Expected = h.recordWait(route, e.Wait, now)
		}
		return h.ejector.Observe(instance, observed, now)
	case Failed:
		return h.ejector.Observe(instance, limit.Outcome{Failed: true}, now)
	case NoResponse:
		return h.observeAbandoned(instance, route, e.Wait, now)
	case Inconclusive:
	}
	return h.ejector.Health(instance, now)
}

// observeAbandoned records a request that was given up without an answer. A wait shorter
// than stallTimeout/stallFactor, which is never below the baseline, is ignored: a client
// that leaves early says nothing about the instance.
func (h *serviceHealth) observeAbandoned(instance, route string, wait time.Duration, now time.Time) limit.EngineHealth {
	if wait < h.stallTimeout(route, now)/stallFactor {
		return h.ejector.Health(instance, now)
	}
	expected := h.recordWait(route, wait, now)
	return h.ejector.Observe(instance, limit.Outcome{Unanswered: true, Expected: expected, Duration: wait}, now)
}
