package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// simulation runs a cluster in virtual time. Messages have a latency, may be lost,
// and don't pass between the isolated zones and the others.
type simulation struct {
	now           time.Time
	random        *rand.Rand
	nodes         []*simulatedNode
	byAddr        map[string]*simulatedNode
	queue         taskQueue
	sequence      int
	loss          float64
	latency       time.Duration
	isolatedZones map[string]bool
	suspects      int
	// encode marshals and unmarshals every message.
	encode bool
}

type simulatedNode struct {
	gossip     *Gossip
	identity   Identity
	running    bool
	bytes      int
	messages   int
	leftEvents int
}

type task struct {
	at       time.Time
	sequence int
	run      func()
}

type taskQueue []task

func (t taskQueue) Len() int { return len(t) }
func (t taskQueue) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}
func (t taskQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *taskQueue) Push(x any)   { *t = append(*t, x.(task)) }
func (t *taskQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newSimulation(seed uint64, nodes, zones int) *simulation {
	s := &simulation{
		now:           time.UnixMilli(1_700_000_000_000),
		random:        rand.New(rand.NewPCG(seed, 1)),
		byAddr:        map[string]*simulatedNode{},
		latency:       2 * time.Millisecond,
		isolatedZones: map[string]bool{},
	}
	for number := range nodes {
		s.add(number, fmt.Sprintf("zone-%02d", number%zones))
	}
	return s
}

func address(number int) string {
	return fmt.Sprintf("10.1.%d.%d:7070", number/250, number%250)
}

func (s *simulation) add(number int, zone string) *simulatedNode {
	node := &simulatedNode{identity: Identity{
		Node:          fmt.Sprintf("node-%s-%03d", zone, number),
		Address:       address(number),
		CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", number/250, number%250),
		Zone:          zone,
	}}
	s.nodes = append(s.nodes, node)
	s.byAddr[node.identity.Address] = node
	s.start(node)
	return node
}

// start starts the node with a new incarnation.
func (s *simulation) start(node *simulatedNode) {
	s.restart(node, fmt.Sprintf("%016x", s.random.Uint64()))
}

func (s *simulation) restart(node *simulatedNode, incarnation string) {
	node.identity.Incarnation = incarnation
	node.identity.Started = s.now
	node.running = true
	seeds := []string{address(0), address(1), address(2)}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	node.gossip = New(Settings{}, node.identity, seeds, random, s.now)
	gossip := node.gossip
	s.after(time.Duration(s.random.Int64N(int64(stepInterval))), func() { s.tick(node, gossip) })
}

func (s *simulation) after(pause time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, task{at: s.now.Add(pause), sequence: s.sequence, run: run})
}

func (s *simulation) tick(node *simulatedNode, gossip *Gossip) {
	if !node.running || node.gossip != gossip {
		return
	}
	s.step(node)
	s.after(stepInterval, func() { s.tick(node, gossip) })
}

func (s *simulation) step(node *simulatedNode) {
	for _, exchange := range node.gossip.Step(s.now) {
		s.send(node, exchange)
	}
	s.drainEvents(node)
}

// drainEvents takes the node's events, as Service does after each action, and
// counts them.
func (s *simulation) drainEvents(node *simulatedNode) {
	for _, event := range node.gossip.TakeEvents() {
		if event.Kind == Suspected {
			s.suspects++
		}
		if event.Kind == Left {
			node.leftEvents++
		}
	}
}

func (s *simulation) scheduleUrgentStep(node *simulatedNode, hadUrgent bool) {
	s.drainEvents(node)
	if node.gossip.HasUrgent() && !hadUrgent {
		gossip := node.gossip
		s.after(0, func() {
			if node.running && node.gossip == gossip {
				s.step(node)
			}
		})
	}
}

func (s *simulation) act(node *simulatedNode, action func(g *Gossip)) {
	hadUrgent := node.gossip.HasUrgent()
	action(node.gossip)
	s.scheduleUrgentStep(node, hadUrgent)
}

func (s *simulation) send(from *simulatedNode, exchange Exchange) {
	from.count(exchange.Request)
	gossip := from.gossip
	answered := false
	finish := func(response *peerv1.ExchangeResponse) {
		if answered || !from.running || from.gossip != gossip {
			return
		}
		answered = true
		s.act(from, func(g *Gossip) { g.HandleOutcome(s.now, exchange, response) })
	}
	s.after(gossip.settings.ExchangeTimeout, func() { finish(nil) })
	to := s.byAddr[exchange.Target.Address]
	if to == nil || !s.delivers(from, to) {
		return
	}
	s.after(s.latency, func() { s.deliver(from, to, exchange.Request, finish) })
}

func (s *simulation) deliver(from, to *simulatedNode, request *peerv1.ExchangeRequest, finish func(*peerv1.ExchangeResponse)) {
	if !to.running {
		s.after(s.latency, func() { finish(nil) })
		return
	}
	to.count(request)
	if s.encode {
		request = encoded(request, &peerv1.ExchangeRequest{})
	}
	var response *peerv1.ExchangeResponse
	s.act(to, func(g *Gossip) { response = g.HandleRequest(s.now, request) })
	to.count(response)
	if s.encode {
		response = encoded(response, &peerv1.ExchangeResponse{})
	}
	if !s.delivers(to, from) {
		return
	}
	s.after(s.latency, func() {
		from.count(response)
		finish(response)
	})
}

func (n *simulatedNode) count(message proto.Message) {
	n.bytes += proto.Size(message)
	n.messages++
}

func (s *simulation) delivers(from, to *simulatedNode) bool {
	if s.isolatedZones[from.identity.Zone] != s.isolatedZones[to.identity.Zone] {
		return false
	}
	return s.random.Float64() >= s.loss
}

func (s *simulation) run(duration time.Duration) {
	s.runUntil(duration, func() bool { return false })
}

// runUntil runs until the condition holds, checking it every 10 ms, and returns
// the time taken and whether the condition held within the limit.
func (s *simulation) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := s.now
	for s.now.Sub(start) < limit {
		if condition() {
			return s.now.Sub(start), true
		}
		s.advance(10 * time.Millisecond)
	}
	return limit, condition()
}

func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// allRunning reports whether the condition holds on all running nodes.
func (s *simulation) allRunning(condition func(m *Members) bool) bool {
	for _, node := range s.nodes {
		if node.running && !condition(node.gossip.Members()) {
			return false
		}
	}
	return true
}

func (s *simulation) viewsComplete() bool {
	running := 0
	for _, node := range s.nodes {
		if node.running {
			running++
		}
	}
	return s.allRunning(func(m *Members) bool { return len(m.Live()) == running })
}

func (s *simulation) resetTraffic() {
	for _, node := range s.nodes {
		node.bytes = 0
		node.messages = 0
	}
}

// traffic returns the mean and the highest rate of a node over the duration, in
// bytes per second sent and received.
func (s *simulation) traffic(duration time.Duration) (mean, highest float64) {
	for _, node := range s.nodes {
		rate := float64(node.bytes) / duration.Seconds()
		mean += rate / float64(len(s.nodes))
		highest = max(highest, rate)
	}
	return mean, highest
}
