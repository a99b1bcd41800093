package register_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

var errLost = errors.New("connection lost")

// memoryMember is a replica in memory, reached without a network.
type memoryMember struct {
	registers map[string]replica.Register
	// failures is how many requests are still to fail; with dropAnswer accepts
	// only, after they had their effect.
	failures   int
	dropAnswer bool
}

// memoryCluster is a Transport and the Views of one shard.
type memoryCluster struct {
	mutex    sync.Mutex
	members  map[string]*memoryMember
	known    register.View
	current  register.View
	version  uint64
	newest   uint64
	prepares int
	accepts  int
	bytes    int
	// lossPercent of the requests and of the answers are lost at random.
	lossPercent int
	random      *rand.Rand
}

func newMemoryCluster(names ...string) *memoryCluster {
	c := &memoryCluster{
		members: make(map[string]*memoryMember),
		known:   register.View{Epoch: 1},
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for _, name := range names {
		c.known.Members = append(c.known.Members, register.Member{Node: name, Incarnation: name + "-1"})
		c.members[name] = &memoryMember{registers: make(map[string]replica.Register)}
	}
	c.current = c.known
	return c
}

func (c *memoryCluster) View(uint32) (register.View, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.known, true
}

func (c *memoryCluster) Learn(view register.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.known = view
}

func (c *memoryCluster) ConfigurationVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

func (c *memoryCluster) LearnConfiguration(_ context.Context, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version = max(c.version, version)
}

// beginEpoch lets the members know an epoch and a configuration that the
// clients have not heard of.
func (c *memoryCluster) beginEpoch(epoch, configuration uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current.Epoch = epoch
	c.newest = configuration
}

func (c *memoryCluster) check(fence register.Fence) register.Refusal {
	switch {
	case fence.Epoch != c.current.Epoch:
		return register.RefusalEpoch
	case fence.ConfigurationVersion < c.newest:
		return register.RefusalConfiguration
	}
	return register.RefusalNone
}

func (c *memoryCluster) isLost() bool {
	return c.lossPercent > 0 && c.random.IntN(100) < c.lossPercent
}

// loss returns the failures before and after the effect of a request.
func (c *memoryCluster) loss(m *memoryMember, phase register.Phase) (before, after bool) {
	before, after = c.isLost(), c.isLost()
	if m.failures > 0 && (phase == register.PhaseAccept || !m.dropAnswer) {
		m.failures--
		before = before || !m.dropAnswer
		after = true
	}
	return before, after
}

func (c *memoryCluster) Prepare(_ context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.members[member.Node]
	c.prepares++
	before, after := c.loss(m, register.PhasePrepare)
	if before {
		return register.PrepareReply{}, errLost
	}
	if refusal := c.check(request.Fence); refusal != register.RefusalNone {
		return register.PrepareReply{Refusal: refusal, View: &c.current, ConfigurationVersion: c.newest}, nil
	}
	state, reply := register.Acceptor{}.Prepare(m.registers[request.Key], request.Ballot)
	m.registers[request.Key] = state
	c.bytes += len(reply.Value)
	if after {
		return register.PrepareReply{}, errLost
	}
	return reply, nil
}

func (c *memoryCluster) Accept(_ context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.members[member.Node]
	c.accepts++
	c.bytes += len(request.Value)
	before, after := c.loss(m, register.PhaseAccept)
	if before {
		return register.AcceptReply{}, errLost
	}
	if refusal := c.check(request.Fence); refusal != register.RefusalNone {
		return register.AcceptReply{Refusal: refusal, View: &c.current, ConfigurationVersion: c.newest}, nil
	}
	state, reply := register.Acceptor{}.Accept(m.registers[request.Key], request.Ballot, request.Value, request.Next)
	m.registers[request.Key] = state
	if after {
		return register.AcceptReply{}, errLost
	}
	return reply, nil
}

func (c *memoryCluster) setLoss(percent int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lossPercent = percent
}

// setFailure lets the named members fail for good.
func (c *memoryCluster) setFailure(dropAnswer bool, names ...string) {
	c.fail(math.MaxInt, dropAnswer, names)
}

// dropAnswers loses the next answers of the named members.
func (c *memoryCluster) dropAnswers(count int, names ...string) { c.fail(count, true, names) }

func (c *memoryCluster) fail(count int, dropAnswer bool, names []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, name := range names {
		c.members[name].failures = count
		c.members[name].dropAnswer = dropAnswer
	}
}

// counts returns the requests sent and the bytes of values carried so far.
func (c *memoryCluster) counts() (prepares, accepts, bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.prepares, c.accepts, c.bytes
}
