package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

var (
	stopSoakSeeds = flag.Int("stopsoak.seeds", 1, "number of seeds of TestRequestsAreAnsweredAcrossStops")
	stopSoakFirst = flag.Uint64("stopsoak.first", 1, "first of these seeds")
)

const (
	stopSoakClients  = 40
	stopSoakGateways = 4
	stopSoakDrain    = 8 * time.Second
	// balancerDelay is how long clients still open connections to a gateway that stops.
	balancerDelay = 2 * time.Second
	// stopSoakPatience is how long a client waits for a response.
	stopSoakPatience = 5 * time.Second
)

// TestRequestsAreAnsweredAcrossStops guards against requests that a gateway reads and ends
// without a response while it stops. Clients use open connections until they are closed.
func TestRequestsAreAnsweredAcrossStops(t *testing.T) {
	for index := range *stopSoakSeeds {
		seed := *stopSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSoakSystem(t, seed, soakLayout{
				gateways: stopSoakGateways, storageNodes: 3, drainTimeout: stopSoakDrain, configuration: stopSoakConfiguration(),
			})
			for range 6 {
				s.addInstance("v1")
			}
			clients := newKeptClients(s, seed)
			time.Sleep(2 * time.Second)
			for _, g := range s.gateways {
				began := time.Now()
				g.process.Terminate()
				time.Sleep(balancerDelay)
				s.setAddress(g.index, "")
				g.process.Wait(t)
				t.Logf("%s stopped in %v", g.process.Command.Name, time.Since(began).Round(time.Millisecond))
				s.startGateway(g)
				time.Sleep(500 * time.Millisecond)
			}
			clients.stop()
			t.Logf("%v", clients.counts)
			for _, lost := range clients.lost {
				t.Error(lost)
			}
			assert.Assert(t, clients.counts[harness.EndedWhole] > 0)
		})
	}
}

func stopSoakConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "turns", "host": "desk.example", "path_prefix": "/turns/", "kind": "stream", "timeout_ms": 5000,
			"service": "app", "attempts": 2, "retain": true, "retention_s": 60,
		}},
		"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// keptClients are clients that send requests on connections that they keep.
type keptClients struct {
	soak    *soakSystem
	stopped chan struct{}
	running sync.WaitGroup

	mutex  sync.Mutex
	counts map[harness.Ending]int
	lost   []*harness.CallerRequest
}

func newKeptClients(s *soakSystem, seed uint64) *keptClients {
	clients := &keptClients{soak: s, stopped: make(chan struct{}), counts: make(map[harness.Ending]int)}
	for index := range stopSoakClients {
		client := &keptClient{clients: clients, index: index, random: rand.New(rand.NewPCG(seed, uint64(1000+index)))}
		clients.running.Go(client.run)
	}
	return clients
}

func (c *keptClients) stop() {
	close(c.stopped)
	c.running.Wait()
}

func (c *keptClients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *keptClients) record(request *harness.CallerRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[request.Ending]++
	if request.Ending == harness.EndedDropped || request.Ending == harness.EndedCut {
		c.lost = append(c.lost, request)
	}
}

// keptClient sends one request after the other, some on connections that it opened earlier.
type keptClient struct {
	clients *keptClients
	index   int
	random  *rand.Rand
	open    []*harness.CallerConnection
}

const keptConnections = 3

func (c *keptClient) run() {
	previous := ""
	for number := 0; !c.clients.isStopped(); number++ {
		connection := c.connection()
		if connection == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		request := &harness.CallerRequest{
			ID: fmt.Sprintf("c%d-%d", c.index, number), Path: "/turns/x", Host: "desk.example", Body: "input ", Patience: stopSoakPatience,
			Headers: map[string]string{
				runner.HeaderID: fmt.Sprintf("c%d-%d", c.index, number), "X-Program-Id": fmt.Sprint("program-", c.index),
				"X-Token-Budget": "100000000", "X-Token-Usage": "10,1000", "X-Deadline-Ms": fmt.Sprint(stopSoakPatience.Milliseconds()),
			},
		}
		if previous != "" && number%10 != 0 {
			request.Headers["X-Previous-Turn"] = previous
		}
		connection.Do(request)
		c.clients.record(request)
		previous = ""
		if request.Ending == harness.EndedWhole && request.Status == 200 {
			previous = request.ID
		}
		time.Sleep(time.Duration(c.random.IntN(600)) * time.Millisecond)
	}
	for _, connection := range c.open {
		connection.Close()
	}
}

// connection returns a random open connection, after it has filled up their number.
func (c *keptClient) connection() *harness.CallerConnection {
	open := c.open[:0]
	for _, connection := range c.open {
		if connection.IsOpen() {
			open = append(open, connection)
		} else {
			connection.Close()
		}
	}
	c.open = open
	for len(c.open) < keptConnections {
		address := c.clients.soak.anyAddress(c.random)
		if address == "" {
			break
		}
		opened, err := harness.OpenCallerConnection(address)
		if err != nil {
			break
		}
		c.open = append(c.open, opened)
	}
	if len(c.open) == 0 {
		return nil
	}
	return c.open[c.random.IntN(len(c.open))]
}
