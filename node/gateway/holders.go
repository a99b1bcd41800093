package gateway

import (
	"net/netip"
	"time"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/settings"
)

const (
	// holderWait is how long a storage node may hold a gateway's call.
	holderWait = time.Second
	// leastWatchWait is the shortest time for which the store is asked to hold one.
	leastWatchWait = 500 * time.Millisecond
)

// setsAge is how long ago the store may have confirmed the replica sets that are
// followed through a storage node. Replicas say themselves when a set has changed.
const setsAge = 30 * time.Second

const (
	// storePauseParts of the apply limit is the pause between calls at the store itself
	// while no holder answers. A change is late by that, 0.2 s for a holder that is tried
	// before the call, and the way to the store: 1.2 s of 2 s. Without a pause 20 gateways
	// make 783 calls in 12 s at four changes a second, with it 188, and none is late in
	// either (virtual time).
	storePauseParts = 2
	// setsPause is that for replica sets.
	setsPause = 2 * time.Second
)

// maxHolderPause is the longest pause after calls that no holder answered. Holders
// that lost the store are back within 1.6 s of its return, and a gateway is
// answerable for what was changed meanwhile once the undisturbed time, 3 s and more,
// has passed.
const maxHolderPause = 250 * time.Millisecond

const (
	// longestPatience is how long a gateway does without the store at most while no
	// holder can be reached. One that went dark is noticed after 1.4 s, so that there
	// is time for a second one.
	longestPatience = 1500 * time.Millisecond
	// patiencePart of the undisturbed time bounds the same: a gateway that lost all
	// holders is answerable for every change once the undisturbed time has passed. A
	// source waits for up to twice its patience by chance, which leaves a quarter for
	// calls that are under way. With a half, 5 of 960 changes came up to 58 ms late in
	// 5 of 15 plays in virtual time; with this, none in 60.
	patiencePart = 3.0 / 8
	// shortestPatience lets those that lost their holders together spread also where
	// there is no undisturbed time.
	shortestPatience = 100 * time.Millisecond
	// lostPatience is how long a gateway does without the store while holders answer and
	// have lost it: a call of its own would hardly fare better. What it missed is due
	// within the apply limit of the store's return, and holders are back within two
	// seconds of that.
	lostPatience = 4 * time.Second
)

// holderPatience bounds how long a gateway does without the store.
func holderPatience(undisturbed time.Duration) mirror.Patience {
	unreached := time.Duration(patiencePart * float64(undisturbed))
	return mirror.Patience{
		Unreached: min(max(unreached, shortestPatience), longestPatience),
		Lost:      lostPatience,
	}
}

// holderBounds are those of following what is due within the apply limit through
// storage nodes.
func holderBounds(loaded settings.Gateway) mirror.SourceSettings {
	return mirror.SourceSettings{
		Wait: holderWait, MaxAge: loaded.ApplyLimit,
		Patience: holderPatience(loaded.UndisturbedTime), StorePause: loaded.ApplyLimit / storePauseParts,
	}
}

// followBounds are those of the follower of such a kind.
func followBounds(loaded settings.Gateway) follow.Settings {
	bounds := follow.DefaultSettings()
	bounds.WatchWait = watchWait(loaded.UndisturbedTime)
	bounds.WatchSlack = watchSlack
	bounds.MaxPause = maxHolderPause
	return bounds
}

// setsPatience is shorter without holders: once the sets are known there are more
// of them than the settings name, for every kind.
func setsPatience() mirror.Patience {
	return mirror.Patience{Unreached: 700 * time.Millisecond, Lost: lostPatience}
}

// followed are the kinds that this gateway follows.
func (g *Gateway) followed() map[string]mirror.Follower {
	return map[string]mirror.Follower{
		mirror.KindConfiguration: g.configuration, mirror.KindInstances: g.instances, mirror.KindSets: g.sets,
	}
}

// throughHolders follows the kind through storage nodes where it can.
func (g *Gateway) throughHolders(kind string, direct follow.Source, bounds mirror.SourceSettings) *mirror.Source {
	counted := follow.Counted(direct, g.storeCalls.WithLabelValues(kind))
	return mirror.NewSource(kind, counted, g.holders, g.state.peers, bounds, g.following)
}

// holderOrder lists the storage nodes of all replica sets, those of this gateway's
// zone first; before the sets are known, those that the settings name.
func (g *Gateway) holderOrder() []netip.AddrPort {
	views := g.state.lookup.Map()
	if views == nil {
		return mirror.Spread(g.settings.Name, g.settings.Seeds)
	}
	return mirror.Near(g.settings.Zone, g.settings.Name, shard.MembersOf(views.Views()))
}

// isCertain tells whether the configuration in force is surely the newest but
// for what changed within the time of one held call, or within the apply limit where
// that can be proved or the last call failed.
func (g *Gateway) isCertain() bool {
	if g.settings.RevokeLimit > 0 {
		staleness, known := proof{g}.Staleness()
		return known && staleness < g.settings.ApplyLimit
	}
	age, heard := g.configuration.Age()
	return heard && age < certainFor(g.settings, g.configuration.IsLost())
}

// certainFor is how long the configuration counts as the newest after the store confirmed
// it. While a call is held there is mostly nothing to tell; where the last call failed,
// changes may have been missed, and only what is due later is surely none of them.
func certainFor(loaded settings.Gateway, isLost bool) time.Duration {
	if isLost {
		return loaded.ApplyLimit
	}
	return watchWait(loaded.UndisturbedTime) + 2*watchSlack
}

// watchWait is how long the store may hold a gateway's call. A call that hangs
// since the store or the way to it was disturbed has to be noticed, and the
// objects listed anew, by the time that this has passed for as long as makes the
// gateway answerable for what was changed meanwhile.
func watchWait(undisturbed time.Duration) time.Duration {
	return max(leastWatchWait, undisturbed/2, undisturbed-watchSlack-relistTime)
}
