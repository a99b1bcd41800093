package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

func TestObstacles(t *testing.T) {
	cases := []struct {
		obstacle obstacle
		code     result.Code
		pause    time.Duration
	}{
		{overload, result.Overloaded, 150 * time.Millisecond},
		{noConfiguration, result.NotReady, 400 * time.Millisecond},
		{oldConfiguration, result.NotReady, 150 * time.Millisecond},
		{unprovedConfiguration, result.ConfigurationStale, 400 * time.Millisecond},
		{slowBody, result.BodyTimeout, 150 * time.Millisecond},
		{resumedTurn, result.HistoryUnavailable, 150 * time.Millisecond},
		{busyBackEnd, result.BackendBusy, 150 * time.Millisecond},
		{noBackEnd, result.NoBackend, 150 * time.Millisecond},
	}
	for _, c := range cases {
		refusal := c.obstacle.refusal("%d of %s", 3, "100%")
		assert.Equal(t, refusal.Message, "3 of 100%")
		assert.Equal(t, refusal.Code, c.code)
		assert.Equal(t, refusal.RetryAfter, c.pause, c.code.String())
		assert.Equal(t, refusal.Code.Info().Execution, result.NotRun, "only what hasn't run may come back")
	}
}

func TestRetryAfter(t *testing.T) {
	for draw, want := range map[time.Duration]string{0: "0.075", 75 * time.Millisecond: "0.150", 149999 * time.Microsecond: "0.225"} {
		assert.Equal(t, retryAfter(150*time.Millisecond, draw), want)
	}
	assert.Equal(t, retryAfter(400*time.Millisecond, 0), "0.200")
	assert.Equal(t, retryAfter(2*time.Second, time.Second), "2.000")
}
