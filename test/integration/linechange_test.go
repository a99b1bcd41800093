package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	raisedRoute  = "/raised/"
	loweredRoute = "/lowered/"
	removedRoute = "/removed/"
)

// changedRoutes has routes whose retention changes, and one that is removed, with the second
// version.
func changedRoutes(version int) map[string]any {
	byPrefix := map[string]time.Duration{longRoute: longLineRetention, keptRoute: keptLineRetention}
	if version == 1 {
		byPrefix[raisedRoute], byPrefix[loweredRoute], byPrefix[removedRoute] = shortLineRetention, keptLineRetention, keptLineRetention
	} else {
		byPrefix[raisedRoute], byPrefix[loweredRoute] = keptLineRetention, shortLineRetention
	}
	return retainedRoutes(version, byPrefix)
}

// TestTurnIsKeptWhenItsRouteChanges guards against a turn that is deleted within the retention of
// its route after that was raised, or within the one that it was stored with after the route was
// lowered or removed. The lines go on at gateways that never saw them.
func TestTurnIsKeptWhenItsRouteChanges(t *testing.T) {
	t.Parallel()
	s := newLongLineSoakWith(t, 1, "", changedRoutes)
	clients := newLineClients(s)
	clients.awaitServing(0, longLineZones)
	var lines []*turnLine
	for zone := range longLineZones {
		for _, route := range []string{raisedRoute, loweredRoute, removedRoute} {
			line := &turnLine{program: fmt.Sprint("line-", route[1:len(route)-1], zone)}
			clients.takeTurn(line, zone, route)
			line.retention = keptLineRetention
			lines = append(lines, line)
		}
	}
	s.publish()
	time.Sleep(keptLinePause)
	for index, line := range lines {
		clients.takeTurn(line, (index+1)%longLineZones, keptRoute)
	}
	clients.report()
	assert.Equal(t, clients.whole, 2*len(lines))
}

// TestMixedRetentionsOutliveRestartsOfGateways guards against a turn of a short retention that is
// deleted under one of a longer retention and that only caches of gateways hide. The gateways are
// restarted one after the other, and lines go on through all of them after each restart.
func TestMixedRetentionsOutliveRestartsOfGateways(t *testing.T) {
	t.Parallel()
	s := newLongLineSoak(t, 1)
	clients := newLineClients(s)
	clients.awaitServing(0, longLineZones)
	lines := clients.beginMixedLines()
	time.Sleep(keptLinePause)
	for restarted, g := range s.gateways {
		s.restartGateway(g)
		s.log("%d gateways restarted", restarted+1)
		for zone := range longLineZones {
			clients.takeTurn(lines[longLineZones*zone+restarted], zone, keptRoute)
		}
	}
	clients.report()
	assert.Equal(t, clients.whole, 3*len(lines))
}
