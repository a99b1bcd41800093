package backend

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

// Parameters of outlier detection: when an instance is ejected and how it returns.
const (
	// slowFactor is the ratio to the service's median slowness above which an instance is
	// ejected. Slowness is the wait divided by the baseline of the route.
	slowFactor = 4
	// consecutiveFailures is the number of failures in a row that eject an instance.
	consecutiveFailures = 3
	// failureRate is the moving average of the failure rate at which an instance is
	// ejected. Below one half, it catches an instance that fails every second request.
	failureRate = 0.4
	// minSamples is the number of completed requests before the slowness and failure rate
	// of an instance count.
	minSamples = 4
	// baseEjectionTime is the duration of the first ejection. It doubles with each one that
	// follows soon, up to maxEjectionTime. Both are short, since instances restart often.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// maxEjectedFraction limits how much of a service may be ejected at once. If more
	// instances are slow, the service is overloaded, and ejections make that worse.
	maxEjectedFraction = 0.5
	// requiredProbes is the number of probes that must succeed in a row, one at a time,
	// before an ejected instance returns.
	requiredProbes = 2
)

// EjectionPolicy returns a policy for services whose instances restart often: they are
// ejected and probed early, and never more than half of a service is ejected.
func EjectionPolicy() limit.EjectionPolicy {
	return limit.EjectionPolicy{
		SlowFactor:          slowFactor,
		ConsecutiveFailures: consecutiveFailures,
		FailureRate:         failureRate,
		MinSamples:          minSamples,
		BaseEjectionTime:    baseEjectionTime,
		MaxEjectionTime:     maxEjectionTime,
		MaxEjectedFraction:  maxEjectedFraction,
		RequiredProbes:      requiredProbes,
	}
}
