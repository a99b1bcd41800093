package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

func TestUnavailableReasons(t *testing.T) {
	cases := []struct {
		reason unavailableReason
		code   result.Code
		delay  time.Duration
	}{
		{overloaded, result.Overloaded, 150 * time.Millisecond},
		{noConfiguration, result.NotReady, 400 * time.Millisecond},
		{outdatedConfiguration, result.NotReady, 150 * time.Millisecond},
		{unconfirmedConfiguration, result.ConfigurationStale, 400 * time.Millisecond},
		{slowBody, result.BodyTimeout, 150 * time.Millisecond},
		{resumedRetainedTurn, result.HistoryUnavailable, 150 * time.Millisecond},
		{busyBackends, result.BackendBusy, 150 * time.Millisecond},
		{noBackend, result.NoBackend, 150 * time.Millisecond},
	}
	for _, c := range cases {
		failure := c.reason.errorf("%d of %s", 3, "100%")
		assert.Equal(t, failure.Message, "3 of 100%")
		assert.Equal(t, failure.Code, c.code)
		assert.Equal(t, failure.RetryAfter, c.delay, c.code.String())
		assert.Equal(t, failure.Code.Info().Execution, result.NotRun, "only a request that has not run may be retried")
	}
}

func TestRetryAfter(t *testing.T) {
	for jitter, want := range map[time.Duration]string{0: "0.075", 75 * time.Millisecond: "0.150", 149999 * time.Microsecond: "0.225"} {
		assert.Equal(t, retryAfter(150*time.Millisecond, jitter), want)
	}
	assert.Equal(t, retryAfter(400*time.Millisecond, 0), "0.200")
	assert.Equal(t, retryAfter(2*time.Second, time.Second), "2.000")
}
