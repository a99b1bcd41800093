package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Step advances the protocol to now and returns the exchanges to send. Call it
// several times a second, and immediately when HasUrgent becomes true.
func (g *Gossip) Step(now time.Time) []Exchange {
	if g.self.gone {
		return nil
	}
	g.self.updateHeartbeat(now)
	g.restartSuspicionsAfterStall(now)
	g.expireInFlight(now)
	g.expireSuspicions(now)
	g.prune(now)
	g.updateSettled(now)
	g.refreshPeers()

	var exchanges []Exchange
	send := func(target Target) {
		if target.Address != "" && !g.isInFlight(target.Address) {
			exchanges = append(exchanges, g.compose(now, target))
		}
	}
	g.stepPeriodic(now, send)
	g.stepUrgent(now, send)
	g.stepProbes(now, send)
	g.stepIndirectProbes(now, send)
	g.stepRejoin(now, send)
	g.publishIfStale()
	return exchanges
}

// HasUrgent reports whether urgent exchanges are waiting for Step.
func (g *Gossip) HasUrgent() bool { return len(g.urgent) > 0 }

// stepPeriodic probes the next peer in round-robin order.
func (g *Gossip) stepPeriodic(now time.Time, send func(Target)) {
	if now.Before(g.nextPeriodicProbe) {
		return
	}
	g.nextPeriodicProbe = g.nextPeriodicProbe.Add(g.settings.ExchangeInterval)
	if g.nextPeriodicProbe.Before(now) {
		g.nextPeriodicProbe = now.Add(g.settings.ExchangeInterval)
	}
	if len(g.peers) == 0 {
		return
	}
	g.peerCursor = (g.peerCursor + 1) % len(g.peers)
	send(g.records[g.peers[g.peerCursor]].target())
}

// stepUrgent sends urgent changes to all peers without waiting for their turn.
func (g *Gossip) stepUrgent(now time.Time, send func(Target)) {
	for len(g.urgent) > 0 {
		known := g.records[g.urgent[0]]
		if known != nil && !known.gone() {
			if !g.extraExchanges.AllowN(now, 1) {
				return
			}
			send(known.target())
		}
		g.urgent = g.urgent[1:]
	}
}

// queueUrgent queues an immediate exchange with every peer.
func (g *Gossip) queueUrgent() {
	g.refreshPeers()
	g.urgent = slices.Clone(g.peers)
}

// stepProbes probes the suspects directly, and the nodes from requestProbe.
func (g *Gossip) stepProbes(now time.Time, send func(Target)) {
	for _, name := range sortedNames(g.suspects) {
		known := g.suspects[name]
		if now.Before(known.suspicion.nextProbe) || !g.extraExchanges.AllowN(now, 1) {
			continue
		}
		known.suspicion.nextProbe = now.Add(g.settings.SuspectProbeInterval)
		known.lastProbe = now
		send(known.target())
	}
	requested := g.requestedProbes
	g.requestedProbes = nil
	for _, name := range requested {
		known := g.records[name]
		if known == nil || known.gone() || now.Sub(known.lastProbe) < minimumProbeInterval {
			continue
		}
		if g.extraExchanges.AllowN(now, 1) {
			known.lastProbe = now
			send(known.target())
		}
	}
}

// requestProbe queues a direct probe for the next step.
func (g *Gossip) requestProbe(node string) {
	if !slices.Contains(g.requestedProbes, node) {
		g.requestedProbes = append(g.requestedProbes, node)
	}
}

// stepIndirectProbes sends the queries about the suspects to the helpers.
func (g *Gossip) stepIndirectProbes(now time.Time, send func(Target)) {
	if len(g.suspects) == 0 {
		g.helpers = nil
		return
	}
	if now.Before(g.nextIndirectProbe) {
		return
	}
	g.nextIndirectProbe = now.Add(g.settings.SuspectProbeInterval)
	if g.helpersOutdated() {
		g.chooseHelpers()
	}
	for _, name := range g.helpers {
		if g.extraExchanges.AllowN(now, 1) {
			send(g.records[name].target())
		}
	}
}

func (g *Gossip) helpersOutdated() bool {
	if len(g.helpers) == 0 {
		return true
	}
	return slices.ContainsFunc(g.helpers, func(name string) bool {
		known := g.records[name]
		return known == nil || known.state() != Alive
	})
}

// stepRejoin contacts seeds and gone nodes, so that a new node joins the cluster
// and the sides of a healed partition merge.
func (g *Gossip) stepRejoin(now time.Time, send func(Target)) {
	if now.Before(g.nextRejoin) {
		return
	}
	pause := g.settings.RejoinInterval
	if len(g.peers) == 0 {
		pause = isolatedRejoinInterval
	}
	g.nextRejoin = now.Add(pause/2 + g.jitter(pause))
	candidates := g.rejoinCandidates()
	if len(candidates) == 0 {
		return
	}
	g.rejoinCursor++
	if len(g.peers) == 0 {
		send(candidates[g.rejoinCursor%len(candidates)])
		return
	}
	send(candidates[g.random.IntN(len(candidates))])
}

// rejoinCandidates returns the gone nodes and the seeds whose address isn't that
// of a known live node.
func (g *Gossip) rejoinCandidates() []Target {
	var candidates []Target
	live := map[string]struct{}{}
	for _, name := range sortedNames(g.records) {
		known := g.records[name]
		if !known.gone() {
			live[known.status.GetAddress()] = struct{}{}
			continue
		}
		if known.status.GetAddress() != "" {
			candidates = append(candidates, Target{Address: known.status.GetAddress()})
		}
	}
	for _, address := range g.seeds {
		if _, found := live[address]; !found {
			candidates = append(candidates, Target{Address: address})
		}
	}
	return candidates
}

func (g *Gossip) refreshPeers() {
	if g.peersStale {
		g.peersStale = false
		g.rebuildPeers()
	}
}

func (g *Gossip) isInFlight(address string) bool {
	_, found := g.inFlight[address]
	return found
}

// expireInFlight removes exchanges whose outcome was never reported.
func (g *Gossip) expireInFlight(now time.Time) {
	for address, started := range g.inFlight {
		if now.Sub(started) > 2*g.settings.ExchangeTimeout {
			delete(g.inFlight, address)
		}
	}
}

// sortedNames returns the sorted keys of a map, for a deterministic order.
func sortedNames[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
