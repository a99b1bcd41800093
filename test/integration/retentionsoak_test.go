package integration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// retentionSettling is how long a change of retentions may take to be in force everywhere while
// faults are injected, and how long a raised one must be in force to be relied on.
const retentionSettling = 10 * time.Second

// retentionSoakRounds is the number of times at which each seed changes the retentions and
// restarts the gateways, besides the faults that it draws.
const retentionSoakRounds = 3

// soakRetentions are the retentions from which each version of the configuration draws. Turns of
// the kept route, and from the second version on of the raised one, are retained to the end of the
// soak.
var soakRetentions = map[string][]time.Duration{
	shortRoute:  {time.Second, 2 * time.Second},
	longRoute:   {2 * time.Second, 5 * time.Second},
	raisedRoute: {150 * time.Second, 200 * time.Second},
	keptRoute:   {150 * time.Second, 200 * time.Second},
}

// retentionVersion is a version of the configuration.
type retentionVersion struct {
	published time.Time
	byPrefix  map[string]time.Duration
}

// retentionHistory draws the retentions of each version. It is safe for concurrent use.
type retentionHistory struct {
	seed uint64

	mutex    sync.Mutex
	versions []retentionVersion
}

// configure returns a version of the configuration, which is published at once.
func (h *retentionHistory) configure(version int) map[string]any {
	random := rand.New(rand.NewPCG(h.seed, uint64(version)))
	drawn := retentionVersion{published: time.Now(), byPrefix: make(map[string]time.Duration)}
	for _, prefix := range []string{shortRoute, longRoute, raisedRoute, keptRoute} {
		drawn.byPrefix[prefix] = soakRetentions[prefix][random.IntN(len(soakRetentions[prefix]))]
	}
	if version == 1 {
		drawn.byPrefix[raisedRoute] = 2 * time.Second
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.versions = append(h.versions, drawn)
	return retainedRoutes(version, drawn.byPrefix)
}

// isRetained reports whether the last turn of the line is retained now.
func (h *retentionHistory) isRetained(line *turnLine) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(retainedUntil(h.versions, line))
}

// retainedUntil returns until when the last turn of the line is retained: for the least retention
// that was in force while it was taken, and for a longer one that was published before that ended
// and stayed. The copies are kept beyond their retention for longer than a change takes.
func retainedUntil(versions []retentionVersion, line *turnLine) time.Time {
	until := line.at.Add(leastRetention(versions, line.route, line.started.Add(-retentionSettling), line.at))
	for _, version := range versions {
		settled := version.published.Add(retentionSettling)
		if !version.published.After(line.at) || version.published.After(until) || time.Now().Before(settled) {
			continue
		}
		raised := line.at.Add(leastRetention(versions, line.route, version.published, settled))
		if raised.After(until) {
			until = raised
		}
	}
	return until
}

// leastRetention returns the least retention of the route that was in force between the times.
func leastRetention(versions []retentionVersion, route string, from, to time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for index, version := range versions {
		wasReplaced := index+1 < len(versions) && !versions[index+1].published.After(from)
		if !wasReplaced && version.published.Before(to) {
			least = min(least, version.byPrefix[route])
		}
	}
	return least
}

// TestRetainedUntil checks the retention that the soak relies on, for a turn that is answered
// after 100 s.
func TestRetainedUntil(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	version := func(at int, retention time.Duration) retentionVersion {
		return retentionVersion{published: start.Add(time.Duration(at) * time.Second), byPrefix: map[string]time.Duration{longRoute: retention}}
	}
	line := &turnLine{route: longRoute, started: start.Add(99 * time.Second), at: start.Add(100 * time.Second)}
	for _, tried := range []struct {
		name     string
		versions []retentionVersion
		want     time.Duration
	}{
		{"unchanged", []retentionVersion{version(0, 30*time.Second)}, 30 * time.Second},
		{"lowered long before", []retentionVersion{version(0, 30*time.Second), version(80, 5*time.Second)}, 5 * time.Second},
		{"raised right before", []retentionVersion{version(0, 5*time.Second), version(95, 30*time.Second)}, 5 * time.Second},
		{"lowered after", []retentionVersion{version(0, 30*time.Second), version(105, 5*time.Second)}, 30 * time.Second},
		{"raised within the time", []retentionVersion{version(0, 30*time.Second), version(105, 60*time.Second)}, 60 * time.Second},
		{"raised too late", []retentionVersion{version(0, 30*time.Second), version(131, 60*time.Second)}, 30 * time.Second},
		{"raised further", []retentionVersion{version(0, 30*time.Second), version(105, 60*time.Second), version(107, 90*time.Second)}, 90 * time.Second},
		{"raised for a moment", []retentionVersion{version(0, 30*time.Second), version(105, 60*time.Second), version(107, 30*time.Second)}, 30 * time.Second},
	} {
		assert.Equal(t, retainedUntil(tried.versions, line).Sub(line.at), tried.want, tried.name)
	}
}

// mixedSoakClient continues lines on routes of all retentions.
type mixedSoakClient struct {
	lineSoakClient
	// resting is a line of mixed retentions, raised one of a turn whose retention is raised
	// afterwards. Both aren't continued before the end.
	resting, raised *turnLine
}

// beginResting begins the lines that rest. That of mixed retentions has a turn of the short route
// under one of the kept route, which enters through another zone and is of another program for some
// clients.
func (c *mixedSoakClient) beginResting() {
	c.raised = &turnLine{program: c.newProgram()}
	c.takeTurn(c.raised, c.zone, raisedRoute)
	c.resting = &turnLine{program: c.newProgram()}
	c.takeTurn(c.resting, c.zone, shortRoute)
	if c.random.IntN(2) == 0 {
		c.resting = c.resting.fork(c.newProgram())
	}
	c.takeTurn(c.resting, (c.zone+c.random.IntN(longLineZones))%longLineZones, keptRoute)
}

// takeTurns takes turns until the time.
func (c *mixedSoakClient) takeTurns(until time.Time) {
	routes := []string{shortRoute, longRoute, longRoute, raisedRoute, keptRoute}
	for time.Now().Before(until) {
		if c.random.IntN(lineSoakMoves) == 0 {
			c.zone = c.random.IntN(longLineZones)
		}
		c.takeTurn(c.nextLine(), c.zone, routes[c.random.IntN(len(routes))])
		time.Sleep(time.Duration(c.random.Int64N(int64(lineSoakPause))))
	}
}

// restartGatewaysInSeries restarts the gateways that serve, one right after the other. Requests
// under way end by the drain or, for some gateways, with the process.
func (s *turnSoak) restartGatewaysInSeries() func() {
	for _, g := range s.gateways {
		if !s.takeGatewayOf(g) {
			continue
		}
		if s.random.IntN(2) == 0 {
			g.process.Kill()
		} else {
			g.process.Terminate()
			g.process.Wait(s.t)
		}
		s.startGateway(g)
	}
	return func() {}
}

// takeGatewayOf takes the gateway from the clients if it serves.
func (s *soakSystem) takeGatewayOf(g *soakGateway) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	serves := s.addresses[g.index] != ""
	s.addresses[g.index] = ""
	return serves
}

// TestMixedRetentionsOutliveFaults guards against turns that are unknown within their retention on
// lines that mix retentions, while retentions change, gateways are restarted in series and storage
// nodes lose processes and disks.
func TestMixedRetentionsOutliveFaults(t *testing.T) {
	t.Parallel()
	for index := range *lineSoakSeeds {
		seed := *lineSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			history := &retentionHistory{seed: seed}
			s := newLongLineSoakWith(t, seed, "", history.configure)
			s.addresses = append(s.addresses, make([]string, longLineZones)...)
			s.moreFaults = []turnFault{
				{"gateways restarted in series", (*turnSoak).restartGatewaysInSeries, time.Millisecond},
				{"retentions changed", func(s *turnSoak) func() { s.publish(); return func() {} }, time.Millisecond},
				{"retentions changed", func(s *turnSoak) func() { s.publish(); return func() {} }, time.Millisecond},
			}
			clients := newLineClients(s)
			clients.isRetained = history.isRetained
			clients.awaitServing(0, longLineZones)
			var all []*mixedSoakClient
			var running sync.WaitGroup
			for number := range lineSoakClients {
				client := &mixedSoakClient{lineSoakClient: lineSoakClient{
					lineClients: clients, random: rand.New(rand.NewPCG(seed, uint64(number))), name: fmt.Sprint("client-", number), zone: number % longLineZones,
				}}
				all = append(all, client)
				running.Go(client.beginResting)
			}
			running.Wait()
			s.publish()
			until := time.Now().Add(*lineSoakTime)
			for _, client := range all {
				running.Go(func() { client.takeTurns(until) })
			}
			for range retentionSoakRounds {
				s.inject((*lineSoakTime - *turnSoakCatchUp) / retentionSoakRounds)
				s.publish()
				s.restartGatewaysInSeries()
			}
			s.startUnusedGateways(clients)
			running.Wait()
			killed := s.firstInMostSets()
			killed.process.Kill()
			s.log("%s killed", killed.name)
			for _, client := range all {
				for _, line := range append(client.lines, client.resting, client.raised) {
					unused := longLineZones + client.random.IntN(longLineZones)
					running.Go(func() { clients.takeTurn(line, unused, longRoute) })
				}
			}
			running.Wait()
			clients.report()
			s.log("%d versions of the configuration", len(history.versions))
			for _, client := range all {
				assert.Check(t, client.resting.turns == 3, "the resting line %s has %d turns", client.resting.program, client.resting.turns)
			}
		})
	}
}
