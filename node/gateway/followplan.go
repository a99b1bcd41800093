package gateway

import (
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/settings"
)

// Bounds of calls to the store.
const (
	// watchGrace is added to the wait of a watch call to cover the round trip.
	watchGrace = 700 * time.Millisecond
	// relistTime is reserved for a listing after a watch call that timed out. A healthy store
	// answers within 20 ms.
	relistTime = 800 * time.Millisecond
	// minWatchWait prevents a busy loop if the undisturbed time is zero.
	minWatchWait = 500 * time.Millisecond
	// replicaSetWatchWait is long, since replica sets change only when a storage node joins
	// or leaves.
	replicaSetWatchWait = 20 * time.Second
	// maxHolderPause bounds the backoff while no holder answers, so that changes made
	// during an outage are known within the undisturbed time after it. Holders that lost the
	// store follow it again within 1.6 s of its return.
	maxHolderPause = 250 * time.Millisecond
)

// Bounds of calls to holders, the storage nodes that mirror the store.
const (
	// holderWait is the wait of a watch call. Together with the grace of package mirror it
	// leaves time for a second holder within an undisturbed time of 3 s.
	holderWait = time.Second
	// replicaSetMaxAge may be long, since replicas announce changes of their sets.
	replicaSetMaxAge = 30 * time.Second
)

// Bounds of mirror.FallbackDelays, the time for which a gateway asks holders alone before
// it asks the store. A source waits for a random time of one to two times its delay.
const (
	// maxUnreachableDelay bounds the delay while no holder answers. It leaves time to
	// try a second holder.
	maxUnreachableDelay = 1500 * time.Millisecond
	// unreachableDelayFraction of the undisturbed time bounds the same delay. A quarter
	// of the undisturbed time is left for calls in progress even after twice the delay. With
	// one half, 5 of 960 changes were applied too late while all holders were down.
	unreachableDelayFraction = 3.0 / 8
	// minUnreachableDelay spreads the calls of gateways that lose their holders together
	// if the undisturbed time is zero.
	minUnreachableDelay = 100 * time.Millisecond
	// replicaSetUnreachableDelay is shorter, since replica sets list the holders for
	// every kind of object.
	replicaSetUnreachableDelay = 700 * time.Millisecond
	// storeLostDelay is the delay while holders answer but have lost the store, which a
	// gateway would probably not reach either. Holders follow it again within two seconds of
	// its return, in time for the apply limit.
	storeLostDelay = 4 * time.Second
)

// Pauses between calls to the store while no holder answers.
const (
	// storePauseDivisor divides the apply limit into the pause. The rest of the limit is
	// left for trying a holder first and for the call to the store. Without a pause 20
	// gateways made 783 in place of 188 calls in 12 s, at four changes a second.
	storePauseDivisor = 2
	// replicaSetStorePause is the pause for replica sets.
	replicaSetStorePause = 2 * time.Second
)

// provenMaxAgeDivisor divides the revoke limit into the greatest age of the answer of a
// holder where freshness must be proven. The rest of the limit is left to find a holder
// that is newer.
const provenMaxAgeDivisor = 3

// followPlan holds the settings for following one kind of object.
type followPlan struct {
	// calls bounds each call, to holders and to the store.
	calls follow.Settings
	// holders decides how long holders are trusted and when the store is asked instead.
	holders mirror.SourceSettings
	// pollInterval is the interval of listings of the store where each answer must prove
	// that there is nothing newer; zero for watch calls.
	pollInterval time.Duration
}

// newFollowPlan decides how a gateway follows a kind of object: which nodes it asks, how
// long it trusts an answer, and when it asks another node.
//
// Each change costs the store one call per node that watches it. Gateways therefore watch
// the storage nodes, which mirror the store, and call the store only if no storage node was
// usable for some time (mirror.FallbackDelays). The bounds follow from the settings:
//
//   - ApplyLimit, within which a change must be applied, bounds the age of the answer of a
//     holder and the pause between calls to the store.
//   - UndisturbedTime, after which ApplyLimit applies again once an outage has ended,
//     bounds the time of a call that hangs and the time without calls to the store.
//   - RevokeLimit, if set, makes the gateway poll the configuration, since each answer must
//     prove its freshness.
//   - Replica sets have their own bounds, since a late change of them is harmless.
func newFollowPlan(kind string, limits settings.Gateway) followPlan {
	switch {
	case kind == mirror.KindReplicaSets:
		return replicaSetPlan()
	case kind == mirror.KindConfiguration && limits.RevokeLimit > 0:
		return provenPlan(limits)
	}
	return followPlan{calls: callSettings(limits), holders: holderSettings(limits)}
}

// replicaSetPlan returns the plan for replica sets. They change rarely, and late changes are
// harmless, since replicas announce changes of their sets.
func replicaSetPlan() followPlan {
	calls := follow.DefaultSettings()
	calls.WatchWait = replicaSetWatchWait
	return followPlan{
		calls: calls,
		holders: mirror.SourceSettings{
			HolderWait:     holderWait,
			MaxHolderAge:   replicaSetMaxAge,
			FallbackDelays: mirror.FallbackDelays{HoldersUnreachable: replicaSetUnreachableDelay, StoreLost: storeLostDelay},
			StorePause:     replicaSetStorePause,
		},
	}
}

// provenPlan returns the plan for a configuration whose freshness must be proven.
func provenPlan(limits settings.Gateway) followPlan {
	calls := callSettings(limits)
	calls.MaxBackoff = mirror.MaxProofRetryPause
	return followPlan{
		calls:        calls,
		holders:      provenHolderSettings(limits.RevokeLimit, holderSettings(limits)),
		pollInterval: mirror.ProofInterval(limits.RevokeLimit),
	}
}

// callSettings returns the bounds of calls for objects that the apply limit covers.
func callSettings(limits settings.Gateway) follow.Settings {
	calls := follow.DefaultSettings()
	calls.WatchWait = watchWait(limits.UndisturbedTime)
	calls.WatchGrace = watchGrace
	calls.MaxBackoff = maxHolderPause
	return calls
}

// holderSettings returns the bounds of following such objects through holders.
func holderSettings(limits settings.Gateway) mirror.SourceSettings {
	return mirror.SourceSettings{
		HolderWait:     holderWait,
		MaxHolderAge:   limits.ApplyLimit,
		FallbackDelays: fallbackDelays(limits.UndisturbedTime),
		StorePause:     limits.ApplyLimit / storePauseDivisor,
	}
}

// provenHolderSettings tightens the defaults for answers that must prove their freshness:
// holders are asked as often as the store, and an outdated one is dropped while there is
// time to ask another.
func provenHolderSettings(revokeLimit time.Duration, defaults mirror.SourceSettings) mirror.SourceSettings {
	defaults.HolderWait = min(defaults.HolderWait, mirror.ProofInterval(revokeLimit))
	defaults.MaxHolderAge = min(defaults.MaxHolderAge, revokeLimit/provenMaxAgeDivisor)
	// Polling already limits the rate of calls to the store.
	defaults.StorePause = 0
	return defaults
}

// fallbackDelays returns how long a gateway asks holders alone before it asks the store.
func fallbackDelays(undisturbed time.Duration) mirror.FallbackDelays {
	unreachable := time.Duration(unreachableDelayFraction * float64(undisturbed))
	return mirror.FallbackDelays{
		HoldersUnreachable: min(max(unreachable, minUnreachableDelay), maxUnreachableDelay),
		StoreLost:          storeLostDelay,
	}
}

// watchWait returns how long the store may hold a watch call. A call that hangs must time
// out, and the objects be listed again, within the undisturbed time, after which the apply
// limit applies again. The wait is at least half of the undisturbed time.
func watchWait(undisturbed time.Duration) time.Duration {
	return max(minWatchWait, undisturbed/2, undisturbed-watchGrace-relistTime)
}
