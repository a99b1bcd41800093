package gateway

import (
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/settings"
)

// Bounds of the calls at the store.
const (
	// watchSlack is how much longer than its wait a held call may take. It covers the
	// way to the store and back (chosen, not measured).
	watchSlack = 700 * time.Millisecond
	// relistTime is left for a listing after a held call that wasn't answered (chosen,
	// not measured; a store that is well answers within 20 ms).
	relistTime = 800 * time.Millisecond
	// minWatchWait is the shortest time for which the store is asked to hold a call,
	// so that an undisturbed time of zero doesn't end in a busy loop (chosen, not
	// measured).
	minWatchWait = 500 * time.Millisecond
	// replicaSetWatchWait is how long the store may hold a call about replica sets, which change
	// when a storage node comes or goes (chosen, not measured).
	replicaSetWatchWait = 20 * time.Second
	// maxHolderPause is the longest pause after calls that no holder answered. Holders
	// that lost the store are back within 1.6 s of its return, and a gateway is
	// answerable for what was changed meanwhile once the undisturbed time, 3 s and more,
	// has passed.
	maxHolderPause = 250 * time.Millisecond
)

// Bounds of the calls at holders, the storage nodes that mirror the store.
const (
	// holderWait is how long a holder may hold a call. One that went dark is noticed
	// after this and the slack of package mirror, 1.4 s in all, which leaves time for a
	// second one within an undisturbed time of 3 s.
	holderWait = time.Second
	// replicaSetMaxAge is how long ago the store may have confirmed the replica sets to a holder.
	// It may be long, since replicas themselves say when a set has changed (chosen, not
	// measured).
	replicaSetMaxAge = 30 * time.Second
)

// Patience: how long a gateway does without the store itself. A source waits for one to
// two times its patience, by chance.
const (
	// maxUnreachedPatience bounds the time without any holder. One that went dark is noticed
	// after 1.4 s, so that there is time for a second one.
	maxUnreachedPatience = 1500 * time.Millisecond
	// unreachedPatienceFraction of the undisturbed time bounds the same: a gateway that lost all
	// holders is answerable for every change once the undisturbed time has passed. Twice
	// the part leaves a quarter for calls that are under way. With a half, 5 of 960
	// changes came up to 58 ms late in 5 of 15 runs in virtual time; with this, none in
	// 60.
	unreachedPatienceFraction = 3.0 / 8
	// minUnreachedPatience lets gateways that lost their holders together spread also where
	// there is no undisturbed time (chosen, not measured).
	minUnreachedPatience = 100 * time.Millisecond
	// replicaSetPatience is that for replica sets. It is shorter, since gateways learn from the
	// sets which further holders there are, for every kind (chosen, not measured).
	replicaSetPatience = 700 * time.Millisecond
	// lostPatience bounds the time while holders answer and have lost the store: a call
	// of its own would hardly fare better. What a gateway missed is due within the apply
	// limit of the store's return, and holders are back within two seconds of that.
	lostPatience = 4 * time.Second
)

// Pauses between calls at the store itself while no holder answers.
const (
	// storePauseDivisor of the apply limit is the pause. A change is late by that, 0.2 s
	// for a holder that is tried before the call, and the way to the store: 1.2 s of 2 s.
	// Without a pause 20 gateways make 783 calls in 12 s at four changes a second, with
	// it 188, and none is late in either (virtual time).
	storePauseDivisor = 2
	// replicaSetStorePause is that for replica sets (chosen, not measured).
	replicaSetStorePause = 2 * time.Second
)

// provenMaxAgeDivisor of the revoke limit is how long ago the store may have confirmed a holder's
// configuration where it has to be proved: two thirds of the limit are left to find a
// holder that is newer (chosen, not measured).
const provenMaxAgeDivisor = 3

// followPlan says how one kind of objects is followed.
type followPlan struct {
	// calls are the bounds of each call, whoever is asked.
	calls follow.Settings
	// holders says how long holders are trusted, and when the store itself is asked.
	holders mirror.SourceSettings
	// pollInterval is the pause between two listings of the store itself where each has
	// to prove that there is nothing newer; zero for held calls.
	pollInterval time.Duration
}

// newFollowPlan decides how a gateway follows a kind of objects: whom it asks, for how long
// it trusts an answer, and after how long it asks somebody else.
//
// A change costs the store one call for each node that asks it, so gateways ask the
// storage nodes, which mirror the store, and turn to the store itself only when none of
// them could be relied on for a while (mirror.Patience). The limits come from the
// settings:
//
//   - ApplyLimit, within which a change has to be in force, bounds how old a holder's
//     answer may be, and the pause between calls at the store itself.
//   - UndisturbedTime, after which ApplyLimit binds once a disturbance has ended, bounds
//     how long a call may hang and how long a gateway does without the store.
//   - RevokeLimit, where it is set, has the configuration polled: each answer has to
//     prove how new it is.
//   - Replica sets have bounds of their own, since a late change of them costs nothing.
func newFollowPlan(kind string, limits settings.Gateway) followPlan {
	switch {
	case kind == mirror.KindSets:
		return replicaSetPlan()
	case kind == mirror.KindConfiguration && limits.RevokeLimit > 0:
		return provenPlan(limits)
	}
	return followPlan{calls: callSettings(limits), holders: holderSettings(limits)}
}

// replicaSetPlan is for what changes seldom, and where a late change costs nothing: replicas
// themselves say when a set has changed.
func replicaSetPlan() followPlan {
	calls := follow.DefaultSettings()
	calls.WatchWait = replicaSetWatchWait
	return followPlan{
		calls: calls,
		holders: mirror.SourceSettings{
			Wait:       holderWait,
			MaxAge:     replicaSetMaxAge,
			Patience:   mirror.Patience{Unreached: replicaSetPatience, Lost: lostPatience},
			StorePause: replicaSetStorePause,
		},
	}
}

// provenPlan is for the configuration where each answer has to prove how new it is.
func provenPlan(limits settings.Gateway) followPlan {
	calls := callSettings(limits)
	calls.MaxPause = mirror.ProofPause
	return followPlan{
		calls:        calls,
		holders:      provenHolderSettings(limits.RevokeLimit, holderSettings(limits)),
		pollInterval: mirror.ProofInterval(limits.RevokeLimit),
	}
}

// callSettings are the bounds of calls about what is due within the apply limit.
func callSettings(limits settings.Gateway) follow.Settings {
	calls := follow.DefaultSettings()
	calls.WatchWait = watchWait(limits.UndisturbedTime)
	calls.WatchSlack = watchSlack
	calls.MaxPause = maxHolderPause
	return calls
}

// holderSettings are the bounds of following the same through holders.
func holderSettings(limits settings.Gateway) mirror.SourceSettings {
	return mirror.SourceSettings{
		Wait:       holderWait,
		MaxAge:     limits.ApplyLimit,
		Patience:   holderPatience(limits.UndisturbedTime),
		StorePause: limits.ApplyLimit / storePauseDivisor,
	}
}

// provenHolderSettings tighten the usual ones where each answer has to prove how new it is: a
// holder is asked as often as the store is, and one that isn't as new as others can be is
// left while there is time for another.
func provenHolderSettings(revokeLimit time.Duration, defaults mirror.SourceSettings) mirror.SourceSettings {
	defaults.Wait = min(defaults.Wait, mirror.ProofInterval(revokeLimit))
	defaults.MaxAge = min(defaults.MaxAge, revokeLimit/provenMaxAgeDivisor)
	// The store is polled, which paces its calls already.
	defaults.StorePause = 0
	return defaults
}

// holderPatience bounds how long a gateway does without the store itself.
func holderPatience(undisturbed time.Duration) mirror.Patience {
	unreached := time.Duration(unreachedPatienceFraction * float64(undisturbed))
	return mirror.Patience{
		Unreached: min(max(unreached, minUnreachedPatience), maxUnreachedPatience),
		Lost:      lostPatience,
	}
}

// watchWait is how long the store may hold a gateway's call. A call that hangs because
// the store or the way to it was disturbed has to be noticed, and the objects listed
// anew, before the undisturbed time has passed: from then on the gateway is answerable
// for what was changed meanwhile. Half of the undisturbed time is asked for at least
// (chosen, not measured).
func watchWait(undisturbed time.Duration) time.Duration {
	return max(minWatchWait, undisturbed/2, undisturbed-watchSlack-relistTime)
}
