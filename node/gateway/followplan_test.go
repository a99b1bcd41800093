package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/settings"
)

func TestFollowingOf(t *testing.T) {
	const ms = time.Millisecond
	limits := settings.Gateway{ApplyLimit: 2 * time.Second, UndisturbedTime: 3 * time.Second}
	revoking := limits
	revoking.RevokeLimit = 2400 * ms
	usual := followPlan{
		calls: follow.Settings{
			ListTimeout: 1500 * ms, WatchWait: 1500 * ms, WatchSlack: 700 * ms,
			Gather: 150 * ms, MinPause: 50 * ms, MaxPause: 250 * ms,
		},
		holders: mirror.SourceSettings{
			Wait: 1000 * ms, MaxAge: 2000 * ms, StorePause: 1000 * ms,
			Patience: mirror.Patience{Unreached: 1125 * ms, Lost: 4000 * ms},
		},
	}
	sets := followPlan{
		calls: follow.Settings{
			ListTimeout: 1500 * ms, WatchWait: 20_000 * ms, WatchSlack: 700 * ms,
			Gather: 150 * ms, MinPause: 50 * ms, MaxPause: 400 * ms,
		},
		holders: mirror.SourceSettings{
			Wait: 1000 * ms, MaxAge: 30_000 * ms, StorePause: 2000 * ms,
			Patience: mirror.Patience{Unreached: 700 * ms, Lost: 4000 * ms},
		},
	}
	proved := usual
	proved.calls.MaxPause = 100 * ms
	proved.holders.Wait, proved.holders.MaxAge, proved.holders.StorePause = 240*ms, 800*ms, 0
	proved.pollInterval = 240 * ms
	cases := []struct {
		name   string
		kind   string
		limits settings.Gateway
		want   followPlan
	}{
		{"configuration", mirror.KindConfiguration, limits, usual},
		{"instances", mirror.KindInstances, limits, usual},
		{"replica sets", mirror.KindSets, limits, sets},
		{"configuration that has to be proved", mirror.KindConfiguration, revoking, proved},
		{"instances beside it", mirror.KindInstances, revoking, usual},
		{"replica sets beside it", mirror.KindSets, revoking, sets},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, newFollowPlan(c.kind, c.limits), c.want)
		})
	}
}

func TestHolderPatience(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		0:                minUnreachedPatience,
		3 * time.Second:  1125 * time.Millisecond,
		4 * time.Second:  maxUnreachedPatience,
		10 * time.Second: maxUnreachedPatience,
	}
	for undisturbed, want := range cases {
		assert.Equal(t, holderPatience(undisturbed), mirror.Patience{Unreached: want, Lost: lostPatience}, undisturbed)
	}
}

// TestHungCallIsNoticedBeforeTheLimitBinds again: a store that forgot a held call
// while it was disturbed has kept a configuration back, and once it has been well
// for the undisturbed time the gateway is answerable for using the newest.
func TestHungCallIsNoticedBeforeTheLimitBinds(t *testing.T) {
	for _, undisturbed := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		noticed := watchWait(undisturbed) + watchSlack
		assert.Assert(t, noticed+min(relistTime, undisturbed/10) <= undisturbed, "%s: noticed after %s", undisturbed, noticed)
	}
	assert.Equal(t, watchWait(0), minWatchWait)
}
