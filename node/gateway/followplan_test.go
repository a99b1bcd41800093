package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/settings"
)

func TestNewFollowPlan(t *testing.T) {
	const ms = time.Millisecond
	limits := settings.Gateway{ApplyLimit: 2 * time.Second, UndisturbedTime: 3 * time.Second}
	revoking := limits
	revoking.RevokeLimit = 2400 * ms
	defaults := followPlan{
		calls: follow.Settings{
			ListTimeout: 1500 * ms, WatchWait: 1500 * ms, WatchGrace: 700 * ms,
			BatchDelay: 150 * ms, MinBackoff: 50 * ms, MaxBackoff: 250 * ms,
		},
		holders: mirror.SourceSettings{
			HolderWait: 1000 * ms, MaxHolderAge: 2000 * ms, StorePause: 1000 * ms,
			FallbackDelays: mirror.FallbackDelays{HoldersUnreachable: 1125 * ms, StoreLost: 4000 * ms},
		},
	}
	replicaSets := followPlan{
		calls: follow.Settings{
			ListTimeout: 1500 * ms, WatchWait: 20_000 * ms, WatchGrace: 700 * ms,
			BatchDelay: 150 * ms, MinBackoff: 50 * ms, MaxBackoff: 400 * ms,
		},
		holders: mirror.SourceSettings{
			HolderWait: 1000 * ms, MaxHolderAge: 30_000 * ms, StorePause: 2000 * ms,
			FallbackDelays: mirror.FallbackDelays{HoldersUnreachable: 700 * ms, StoreLost: 4000 * ms},
		},
	}
	proven := defaults
	proven.calls.MaxBackoff = 100 * ms
	proven.holders.HolderWait, proven.holders.MaxHolderAge, proven.holders.StorePause = 240*ms, 800*ms, 0
	proven.pollInterval = 240 * ms
	cases := []struct {
		name   string
		kind   string
		limits settings.Gateway
		want   followPlan
	}{
		{"configuration", mirror.KindConfiguration, limits, defaults},
		{"instances", mirror.KindInstances, limits, defaults},
		{"replica sets", mirror.KindReplicaSets, limits, replicaSets},
		{"configuration with a revoke limit", mirror.KindConfiguration, revoking, proven},
		{"instances with a revoke limit", mirror.KindInstances, revoking, defaults},
		{"replica sets with a revoke limit", mirror.KindReplicaSets, revoking, replicaSets},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, newFollowPlan(c.kind, c.limits), c.want)
		})
	}
}

func TestFallbackDelays(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		0:                minUnreachableDelay,
		3 * time.Second:  1125 * time.Millisecond,
		4 * time.Second:  maxUnreachableDelay,
		10 * time.Second: maxUnreachableDelay,
	}
	for undisturbed, want := range cases {
		assert.Equal(t, fallbackDelays(undisturbed), mirror.FallbackDelays{HoldersUnreachable: want, StoreLost: storeLostDelay}, undisturbed)
	}
}

// TestHungWatchTimesOutWithinUndisturbedTime guards against a hung watch call that hides newer
// configurations after the undisturbed time.
func TestHungWatchTimesOutWithinUndisturbedTime(t *testing.T) {
	for _, undisturbed := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		detectedAfter := watchWait(undisturbed) + watchGrace
		assert.Assert(t, detectedAfter+min(relistTime, undisturbed/10) <= undisturbed, "undisturbed time %s: detected after %s", undisturbed, detectedAfter)
	}
	assert.Equal(t, watchWait(0), minWatchWait)
}
