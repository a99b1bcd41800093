package integration

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

// keptKind is a kind of request of a keptClient.
type keptKind int

const (
	keptTurn keptKind = iota
	// keptCall requests may run once, keptRead requests several times.
	keptCall
	keptRead
	// keptLong streams outlast a stop.
	keptLong
	// keptUnread streams aren't read by their client.
	keptUnread
	// keptWithheld requests lack the end of their body.
	keptWithheld
)

func (k keptKind) path() string {
	return [...]string{"/turns/x", "/calls/x", "/reads/x", "/long/x", "/bulk/x", "/calls/x"}[k]
}

// keptRequest is one request of a keptClient.
type keptRequest struct {
	*harness.CallerRequest
	kind keptKind
	// allowed is the smaller one of the client's deadline and the route's timeout.
	allowed time.Duration
	// previous is the turn that it goes on from, or nil.
	previous *keptTurnRecord
	// body is what an instance must receive.
	body string
}

// keptTurnRecord is a turn that was answered whole.
type keptTurnRecord struct {
	id string
	// chain are the inputs and the data of all its turns.
	chain string
}

// keptClients are clients that send requests on connections that they keep.
type keptClients struct {
	soak    *soakSystem
	timeout time.Duration
	clients []*keptClient
	stopped chan struct{}

	mutex    sync.Mutex
	requests []*keptRequest
}

// newKeptClients makes clients that have opened their first connections.
func newKeptClients(s *soakSystem, seed uint64, count int, timeout time.Duration) *keptClients {
	clients := &keptClients{soak: s, timeout: timeout, stopped: make(chan struct{})}
	for index := range count {
		client := &keptClient{clients: clients, index: index, ended: make(chan struct{}), random: rand.New(rand.NewPCG(seed, uint64(1000+index)))}
		client.connection()
		clients.clients = append(clients.clients, client)
	}
	return clients
}

func (c *keptClients) start() {
	for _, client := range c.clients {
		go client.run()
	}
}

// stop ends the clients, each after its request at hand.
func (c *keptClients) stop() { close(c.stopped) }

func (c *keptClients) wait() {
	for _, client := range c.clients {
		<-client.ended
	}
}

func (c *keptClients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

func (c *keptClients) record(request *keptRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests = append(c.requests, request)
}

// keptClient sends one request after the other, some on connections that it opened earlier.
type keptClient struct {
	clients *keptClients
	index   int
	random  *rand.Rand
	open    []*harness.CallerConnection
	number  int
	ended   chan struct{}
	// last is the last turn that was answered whole.
	last *keptTurnRecord
}

const (
	keptConnections = 3
	// longTimeout is the timeout of the routes of streams that outlast a stop.
	longTimeout = 20 * time.Second
	// unreadTime is how long a client doesn't read a stream.
	unreadTime = 4 * time.Second
	// turnsPerChain is how many turns a client takes before it begins anew.
	turnsPerChain = 12
)

func (c *keptClient) run() {
	defer close(c.ended)
	for !c.clients.isStopped() {
		connection := c.connection()
		if connection == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.send(connection, c.draw())
		time.Sleep(time.Duration(c.random.IntN(600)) * time.Millisecond)
	}
	for _, connection := range c.open {
		connection.Close()
	}
}

// draw makes the next request. Some clients only have requests that last.
func (c *keptClient) draw() *keptRequest {
	switch c.index % 10 {
	case 0:
		return c.request(keptLong, longTimeout)
	case 1:
		if c.random.IntN(2) == 0 {
			return c.request(keptWithheld, c.clients.timeout)
		}
		return c.request(keptUnread, longTimeout)
	}
	kinds := []keptKind{keptTurn, keptTurn, keptTurn, keptTurn, keptCall, keptRead}
	return c.request(kinds[c.random.IntN(len(kinds))], c.clients.timeout)
}

func (c *keptClient) request(kind keptKind, allowed time.Duration) *keptRequest {
	c.number++
	id := fmt.Sprintf("c%d-%d", c.index, c.number)
	request := &keptRequest{kind: kind, allowed: allowed, CallerRequest: &harness.CallerRequest{
		ID: id, Path: kind.path(), Host: "desk.example", Body: "input of " + id + "\n", Patience: allowed + time.Second,
		Headers: map[string]string{runner.HeaderID: id, "X-Deadline-Ms": fmt.Sprint(allowed.Milliseconds())},
	}}
	request.body = request.Body
	switch kind {
	case keptTurn:
		c.continueTurn(request)
	case keptUnread:
		request.IgnoresResponse, request.Patience = true, unreadTime
	case keptWithheld:
		request.WithholdsBody = true
	}
	return request
}

// continueTurn makes a request go on from the last turn, if there is one.
func (c *keptClient) continueTurn(request *keptRequest) {
	request.Headers["X-Program-Id"] = fmt.Sprint("program-", c.index)
	request.Headers["X-Token-Budget"] = "100000000"
	request.Headers["X-Token-Usage"] = "10,1000"
	if c.last == nil || c.number%turnsPerChain == 0 {
		return
	}
	request.previous = c.last
	request.Headers["X-Previous-Turn"] = c.last.id
	request.body = c.last.chain + request.Body
}

// send sends the request and notes how it ended.
func (c *keptClient) send(connection *harness.CallerConnection, request *keptRequest) {
	connection.Do(request.CallerRequest)
	c.clients.record(request)
	if request.kind == keptTurn && request.Ending == harness.EndedWhole && request.Status == 200 {
		c.last = &keptTurnRecord{id: request.ID, chain: request.body + eventData(request.Content)}
	}
}

// eventData returns the data of each event, followed by a line feed.
func eventData(stream string) string {
	var text strings.Builder
	for lines := bufio.NewScanner(strings.NewReader(stream)); lines.Scan(); {
		if data, isData := strings.CutPrefix(lines.Text(), "data: "); isData {
			text.WriteString(data + "\n")
		}
	}
	return text.String()
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

// continueAfterFault asks for a turn that goes on from the last whole one, until it is
// served or the time is over. It returns the last request.
func (c *keptClient) continueAfterFault(until time.Time) *keptRequest {
	<-c.ended
	if c.last == nil {
		return nil
	}
	var request *keptRequest
	for time.Now().Before(until) {
		if connection := c.connection(); connection != nil {
			request = c.request(keptTurn, min(c.clients.timeout, time.Until(until).Truncate(time.Millisecond)))
			c.send(connection, request)
			if request.Ending == harness.EndedWhole && request.Status == 200 {
				break
			}
		}
		time.Sleep(time.Duration(100+c.random.IntN(200)) * time.Millisecond)
	}
	for _, connection := range c.open {
		connection.Close()
	}
	return request
}
