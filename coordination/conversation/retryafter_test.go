package conversation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfterGrowsWithOutage also checks that the next outage starts with a short wait.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	current := outage{now: func() time.Time { return now }}
	for _, c := range []struct{ at, want time.Duration }{
		{0, minRetryAfter},
		{200 * time.Millisecond, minRetryAfter},
		{800 * time.Millisecond, 400 * time.Millisecond},
		{1500 * time.Millisecond, 750 * time.Millisecond},
		{2400 * time.Millisecond, maxRetryAfter},
		{3400 * time.Millisecond, maxRetryAfter},
		{4500 * time.Millisecond, minRetryAfter},
		{5100 * time.Millisecond, 300 * time.Millisecond},
	} {
		now = start.Add(c.at)
		assert.Equal(t, current.retryAfter(), c.want, "after %s", c.at)
	}
}

// TestFewRetriesOutlastReplicaSetChange checks that a client that makes six attempts, spaced
// by Retry-After, is served after an outage of three seconds.
func TestFewRetriesOutlastReplicaSetChange(t *testing.T) {
	const attempts, outageLength = 6, 3 * time.Second
	for _, arrival := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		start := time.Unix(1000, 0)
		now := start
		current := outage{now: func() time.Time { return now }}
		for at := time.Duration(0); at < arrival; at += 100 * time.Millisecond {
			now = start.Add(at)
			current.retryAfter()
		}
		served := false
		at := arrival
		for range attempts {
			now = start.Add(at)
			if served = at >= outageLength; served {
				break
			}
			at += current.retryAfter()
		}
		assert.Assert(t, served, "arrived after %s, gave up after %s", arrival, at)
	}
}
