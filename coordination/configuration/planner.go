package configuration

import (
	"math/rand/v2"
	"slices"
	"time"
)

// actionKind is what a node does next.
type actionKind int

const (
	// actionRead: watch the object API, after a list where list is set.
	actionRead actionKind = iota
	// actionStopRead: end the watch.
	actionStopRead
	// actionFetch: ask the first peer for what is newer.
	actionFetch
	// actionRelay: give the peers what is newer than base.
	actionRelay
)

// action is one decision of a planner.
type action struct {
	kind  actionKind
	peers []Peer
	base  uint64
}

// planner decides when a node watches the object API, from whom it fetches and
// to whom it passes on. It does no I/O and isn't safe for concurrent use.
type planner struct {
	settings Settings
	random   *rand.Rand

	// reading is set from the start of a watch to its end, stopping from the
	// order to end it.
	reading  bool
	stopping bool
	// disagrees is since when reading differs from what the election says; zero
	// where it doesn't.
	disagrees time.Time
	nextRead  time.Time
	readPause time.Duration

	fetching  bool
	nextFetch time.Time
	// wanted is the newest version that is known to exist.
	wanted uint64
	// relayed is the version that was passed on last.
	relayed uint64
}

// newPlanner makes the planner of a node that starts with the version.
func newPlanner(settings Settings, random *rand.Rand, version uint64) *planner {
	return &planner{
		settings:  settings,
		random:    random,
		readPause: settings.ReadPauseFirst,
		relayed:   version,
	}
}

// step decides what to do now, at the node's version.
func (p *planner) step(now time.Time, version uint64, self Peer, live []Peer) []action {
	peers := others(self, live)
	var actions []action
	actions = append(actions, p.stepRead(now, self, live)...)
	actions = append(actions, p.stepFetch(now, version, self, peers)...)
	return append(actions, p.stepRelay(version, peers)...)
}

func (p *planner) stepRead(now time.Time, self Peer, live []Peer) []action {
	wants := isReader(self, live, p.settings.ReadersPerZone)
	if p.stopping {
		return nil
	}
	if wants == p.reading {
		p.disagrees = time.Time{}
		return nil
	}
	if p.disagrees.IsZero() {
		p.disagrees = now
	}
	patience := p.settings.Settle
	if p.reading {
		patience = p.settings.Unsettle
	}
	if now.Sub(p.disagrees) < patience {
		return nil
	}
	if p.reading {
		p.stopping = true
		return []action{{kind: actionStopRead}}
	}
	if now.Before(p.nextRead) {
		return nil
	}
	p.reading = true
	return []action{{kind: actionRead}}
}

// readProgressed is told that the object API has answered.
func (p *planner) readProgressed() { p.readPause = p.settings.ReadPauseFirst }

// readEnded is told that the watch has ended. The pause grows up to its limit;
// half of it is drawn at random, so that readers don't come back in step.
func (p *planner) readEnded(now time.Time) {
	p.reading, p.stopping = false, false
	half := p.readPause / 2
	p.nextRead = now.Add(half + time.Duration(p.random.Int64N(int64(half)+1)))
	p.readPause = min(2*p.readPause, p.settings.ReadPauseLast)
}

// want is told that a version exists.
func (p *planner) want(version uint64) { p.wanted = max(p.wanted, version) }

func (p *planner) stepFetch(now time.Time, version uint64, self Peer, peers []Peer) []action {
	if p.fetching || now.Before(p.nextFetch) {
		return nil
	}
	isNewer := func(peer Peer) bool { return peer.Version > version }
	newer := filter(peers, isNewer)
	if len(newer) == 0 && p.wanted > version {
		// Somebody has it, but nobody told who.
		newer = peers
	}
	near := filter(newer, func(peer Peer) bool { return peer.Zone == self.Zone })
	if len(near) > 0 && p.random.IntN(2) == 0 {
		// Half of the fetches stay in the zone; the others get around a peer or
		// a zone that is always named and never answers.
		newer = near
	}
	if len(newer) == 0 {
		return nil
	}
	p.fetching = true
	chosen := newer[p.random.IntN(len(newer))]
	return []action{{kind: actionFetch, peers: []Peer{chosen}}}
}

// fetchEnded is told that a fetch has come back or failed.
func (p *planner) fetchEnded(now time.Time) {
	p.fetching = false
	p.nextFetch = now.Add(p.settings.FetchPause)
}

func (p *planner) stepRelay(version uint64, peers []Peer) []action {
	if version <= p.relayed {
		return nil
	}
	base := p.relayed
	p.relayed = version
	if base == 0 {
		// A first load is the whole configuration: too much to give to nodes that
		// may have it already.
		return nil
	}
	older := filter(peers, func(peer Peer) bool { return peer.Version < version })
	p.random.Shuffle(len(older), func(a, b int) { older[a], older[b] = older[b], older[a] })
	older = older[:min(len(older), p.settings.Fanout)]
	if len(older) == 0 {
		return nil
	}
	return []action{{kind: actionRelay, peers: older, base: base}}
}

func filter(peers []Peer, keep func(Peer) bool) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return !keep(peer) })
}
