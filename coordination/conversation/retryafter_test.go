package conversation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfterGrowsWithOutage and is short again for the next one.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	lasting := outage{now: func() time.Time { return now }}
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
		assert.Equal(t, lasting.retryAfter(), c.want, "after %s", c.at)
	}
}

// TestFewRetriesOutlastReplicaSetChange: a client that is refused at once and
// comes back as often as clients do, in the mean after the pause, is served again
// after three seconds of trouble. With a fixed pause it would have given up.
func TestFewRetriesOutlastReplicaSetChange(t *testing.T) {
	const tries, outageLength = 6, 3 * time.Second
	for _, arrival := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		start := time.Unix(1000, 0)
		now := start
		lasting := outage{now: func() time.Time { return now }}
		for at := time.Duration(0); at < arrival; at += 100 * time.Millisecond {
			now = start.Add(at)
			lasting.retryAfter()
		}
		served := false
		at := arrival
		for range tries {
			now = start.Add(at)
			if served = at >= outageLength; served {
				break
			}
			at += lasting.retryAfter()
		}
		assert.Assert(t, served, "arrived after %s, gave up after %s", arrival, at)
	}
}
