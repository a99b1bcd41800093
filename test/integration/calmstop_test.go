package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

const (
	// calmStopPause is the time between two requests of one route.
	calmStopPause = 100 * time.Millisecond
	// calmStopLead is how long before the SIGTERM requests begin.
	calmStopLead = 500 * time.Millisecond
	// calmStopExcuse is how late after a SIGTERM a request may be sent that may be cut if it
	// outlasts the grace time.
	calmStopExcuse = 3 * time.Second
	calmStopEvents = 10
)

// calmStopRoute is a route and the time that its service works on a request.
type calmStopRoute struct {
	name, kind string
	work       time.Duration
}

// calmStopRoutes returns routes of short work, of work that ends in time if it begins three
// seconds after the SIGTERM, and of streams that outlast the stop.
func calmStopRoutes(grace time.Duration) []calmStopRoute {
	long := grace*5/6 - calmStopExcuse
	return []calmStopRoute{
		{"short-safe", "safe", 20 * time.Millisecond}, {"short-unsafe", "unsafe", 20 * time.Millisecond}, {"short-stream", "stream", 20 * time.Millisecond},
		{"long-safe", "safe", long}, {"long-unsafe", "unsafe", long}, {"long-stream", "stream", long}, {"lasting-stream", "stream", 2 * grace},
	}
}

func calmStopConfiguration(routes []calmStopRoute, grace time.Duration) map[string]any {
	config := map[string]any{
		"version": 1, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
	}
	var listed, services []map[string]any
	for _, route := range routes {
		listed = append(listed, map[string]any{
			"name": route.name, "host": "desk.example", "path_prefix": "/" + route.name + "/", "kind": route.kind,
			"service": route.name, "timeout_ms": (3 * grace).Milliseconds(), "attempts": 2,
		})
		services = append(services, map[string]any{"name": route.name})
	}
	config["routes"], config["services"] = listed, services
	return config
}

// TestPlannedStopInCalmCutsNoRequestSentLate guards against requests that one of two gateways
// takes and passes on so late after its SIGTERM that the end of its grace time cuts them.
func TestPlannedStopInCalmCutsNoRequestSentLate(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second, 14 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			stopInCalm(t, grace)
		})
	}
}

func stopInCalm(t *testing.T, grace time.Duration) {
	routes := calmStopRoutes(grace)
	s := newSoakSystem(t, 1, soakLayout{gateways: 2, drainTimeout: grace, configuration: calmStopConfiguration(routes, grace)})
	for _, route := range routes {
		s.addCalmInstance(route)
	}
	clients := &calmClients{soakSystem: s, grace: grace}
	for _, route := range routes {
		clients.awaitServed(route)
	}
	planned := clients.plan(routes)
	terminated := time.Now().Add(calmStopLead)
	var running sync.WaitGroup
	for _, one := range planned {
		running.Go(func() {
			time.Sleep(time.Until(terminated.Add(one.at)))
			clients.send(one)
		})
	}
	time.Sleep(time.Until(terminated))
	s.gateways[0].life.terminate()
	running.Wait()
	assert.Assert(t, <-s.gateways[0].life.stopTime < grace)
	clients.judge(planned)
}

// addCalmInstance adds an instance with room for all requests of the route.
func (s *soakSystem) addCalmInstance(route calmStopRoute) {
	s.t.Helper()
	service := soakService{name: route.name, version: "v1", pause: route.work}
	if route.kind == "stream" {
		service.events, service.pause = calmStopEvents, route.work/calmStopEvents
	}
	s.addInstanceOf(service)
	added := s.instances[len(s.instances)-1]
	s.store.Put("servers", added.Instance, map[string]any{
		"service": added.service, "address": added.Address, "zone": "a", "capacity": 1000, "state": "ready", "version": added.version,
	})
}

// calmRequest is a request that is sent some time after the SIGTERM, on a connection that was
// used before if it is still open.
type calmRequest struct {
	*harness.CallerRequest
	route      calmStopRoute
	at         time.Duration
	connection *harness.CallerConnection
}

type calmClients struct {
	*soakSystem
	grace time.Duration
}

// request returns a request of the route.
func (c *calmClients) request(route calmStopRoute, id string) *harness.CallerRequest {
	return &harness.CallerRequest{
		ID: id, Path: "/" + route.name + "/x", Host: "desk.example", Body: "input", Patience: 4 * c.grace,
		Headers: map[string]string{runner.HeaderID: id, "X-Deadline-Ms": fmt.Sprint((3 * c.grace).Milliseconds())},
	}
}

// awaitServed waits until both gateways have sent requests of the route to its instance.
func (c *calmClients) awaitServed(route calmStopRoute) {
	c.t.Helper()
	for index, life := range c.lives {
		number := 0
		harness.Eventually(c.t, func() (bool, string) {
			connection, err := harness.OpenCallerConnection(life.address)
			assert.NilError(c.t, err)
			defer connection.Close()
			number++
			request := c.request(route, fmt.Sprintf("first-%s-%d-%d", route.name, index, number))
			request.Patience = calmStopLead
			connection.Do(request)
			return len(c.runsOf(request.ID)) > 0, request.String()
		})
	}
}

// plan makes the requests of the routes at all times until the end of the grace time. Half of
// them have a connection that has brought a request before.
func (c *calmClients) plan(routes []calmStopRoute) []*calmRequest {
	c.t.Helper()
	var planned []*calmRequest
	for at := -calmStopLead; at < c.grace; at += calmStopPause {
		for _, route := range routes {
			id := fmt.Sprintf("%s-%d", route.name, at.Milliseconds())
			one := &calmRequest{CallerRequest: c.request(route, id), route: route, at: at}
			if len(planned)%2 == 0 {
				one.connection = c.usedConnection(routes[0], "used-"+id)
			}
			planned = append(planned, one)
		}
	}
	return planned
}

// usedConnection returns a connection to the gateway that stops, after a request on it.
func (c *calmClients) usedConnection(route calmStopRoute, id string) *harness.CallerConnection {
	c.t.Helper()
	connection, err := harness.OpenCallerConnection(c.lives[0].address)
	assert.NilError(c.t, err)
	request := c.request(route, id)
	connection.Do(request)
	assert.Equal(c.t, request.Status, 200, "%v", request)
	return connection
}

// send sends the request. One that outlasts the stop isn't sent to the other gateway.
func (c *calmClients) send(one *calmRequest) {
	if one.connection == nil || !one.connection.IsOpen() {
		one.connection = c.connect()
	}
	if !assert.Check(c.t, one.connection != nil, "%s: no gateway takes connections", one.ID) {
		return
	}
	defer one.connection.Close()
	if one.connection.Gateway != c.lives[0].address && one.route.work > c.grace {
		return
	}
	one.connection.Do(one.CallerRequest)
}

// connect opens a connection to the gateway that stops, or to the other one if that takes none.
// It returns nil if neither does.
func (c *calmClients) connect() *harness.CallerConnection {
	for _, life := range c.lives {
		opened, err := harness.OpenCallerConnection(life.address)
		if err == nil {
			return opened
		}
	}
	return nil
}

func (c *calmClients) runsOf(id string) []runner.Run {
	var runs []runner.Run
	for _, instance := range c.instances {
		for _, run := range instance.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// judge checks that each request was answered whole by an instance, or refused without having
// run, or left unread.
func (c *calmClients) judge(planned []*calmRequest) {
	counts := make(map[string]int)
	var lastTaken, slowestRefusal time.Duration
	terminated := c.lives[0].terminated
	for _, one := range planned {
		if one.Sent.IsZero() {
			continue
		}
		runs := c.runsOf(one.ID)
		ran, stops := len(runs) > 0, one.Gateway == c.lives[0].address
		if ran && stops {
			lastTaken = max(lastTaken, one.Sent.Sub(terminated))
		}
		switch {
		case one.Ending == harness.EndedWhole && one.Status == 200:
			counts[fmt.Sprintf("whole at the gateway that stops: %v", stops)]++
		case one.Ending == harness.EndedWhole && one.Status == 503 && !ran && stops:
			counts["refused"]++
			slowestRefusal = max(slowestRefusal, one.Ended.Sub(one.Sent))
		case one.Ending == harness.EndedUnread && !ran && stops:
			counts["unread"]++
		case stops && c.outlasts(one, runs):
			counts["outlasts the stop"]++
		default:
			counts["FAULT"]++
			c.t.Errorf("%v, sent %v after the SIGTERM, ended %v after it, runs: %d", one.CallerRequest,
				one.Sent.Sub(terminated).Round(time.Millisecond), one.Ended.Sub(terminated).Round(time.Millisecond), len(runs))
		}
	}
	c.t.Logf("%v; the last request that ran was sent %v after the SIGTERM; slowest refusal %v", counts,
		lastTaken.Round(time.Millisecond), slowestRefusal.Round(time.Millisecond))
	assert.Assert(c.t, counts["whole at the gateway that stops: true"] > 0 && counts["whole at the gateway that stops: false"] > 0)
}

// outlasts reports whether the instance was at work in the last sixth of the grace time on a
// request that was sent early enough.
func (c *calmClients) outlasts(one *calmRequest, runs []runner.Run) bool {
	terminated := c.lives[0].terminated
	lastPart := terminated.Add(c.grace * 5 / 6)
	if len(runs) != 1 || one.Sent.After(terminated.Add(calmStopExcuse)) || one.Ended.Before(lastPart) {
		return false
	}
	return runs[0].Ended.IsZero() || runs[0].Ended.After(lastPart)
}
