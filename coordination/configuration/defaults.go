package configuration

import "time"

// DefaultWeights hold where there is no object of kind weights.
func DefaultWeights() Weights {
	return Weights{Latency: 1, WastedCache: 1}
}

// DefaultLimits hold where there is no object of kind limits.
func DefaultLimits() Limits {
	return Limits{
		MaxRequestBytes:  4 << 20,
		DefaultDeadline:  Duration(10 * time.Minute),
		DefaultIdleLimit: Duration(time.Hour),
		DefaultTurnLimit: 1000,
		MaxAttempts:      3,
	}
}
