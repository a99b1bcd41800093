package backend

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// When an instance is ejected, left out for a while, and how it returns. What is owed to
// callers was served to 0.95 in place of 0.92 with ejection and the passing over of
// stalled instances, where some instances are slow or hang, and to 0.82 in place of 0.77
// on a second deployment (one run each). Each figure by itself is chosen, not measured.
const (
	// slowFactor is how many times slower than the median of its service, each wait
	// relative to the usual one of its route, an instance has to be.
	slowFactor = 4
	// consecutiveFailures is the number of failed requests in a row.
	consecutiveFailures = 3
	// failureRate is the part of the requests that fail, as a moving average. It is below
	// a half, so that an instance that fails every second request is found.
	failureRate = 0.4
	// minSamples is how many requests must have ended at an instance before it is judged
	// by its waits or its share of faults.
	minSamples = 4
	// baseEjectionTime is how long the first ejection lasts; each that follows soon lasts twice
	// as long, up to maxTime. Both are short, since instances restart often.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// maxEjectedFraction is the part of a service's instances that may be out at once. Where
	// more of them are slow the service is overloaded, and leaving instances out makes
	// that worse.
	maxEjectedFraction = 0.5
	// requiredProbes is how many requests in a row have to succeed, one at a time, before an
	// ejected instance returns.
	requiredProbes = 2
)

// EjectionPolicy suits services whose instances restart often: an instance is
// left out soon, asked again soon, and never more than half of a service.
func EjectionPolicy() limit.EjectionPolicy {
	return limit.EjectionPolicy{
		SlowFactor:  slowFactor,
		Failures:    consecutiveFailures,
		FaultShare:  failureRate,
		MinSamples:  minSamples,
		BaseTime:    baseEjectionTime,
		MaxTime:     maxEjectionTime,
		MaxFraction: maxEjectedFraction,
		Probes:      requiredProbes,
	}
}
