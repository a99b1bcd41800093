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

// memoryMember is an in-memory replica, reached without a network.
type memoryMember struct {
	registers map[string]replica.Register
	// failures is the number of requests that will still fail. With dropAnswer only
	// accepts fail, after they have taken effect.
	failures   int
	dropAnswer bool
}

// memoryCluster implements Transport and Views for one shard.
type memoryCluster struct {
	mutex         sync.Mutex
	members       map[string]*memoryMember
	clientView    register.View
	memberView    register.View
	clientVersion uint64
	memberVersion uint64
	prepares      int
	accepts       int
	bytes         int
	// lossPercent is the percentage of requests and of answers that are lost at random.
	lossPercent int
	random      *rand.Rand
}

func newMemoryCluster(names ...string) *memoryCluster {
	c := &memoryCluster{
		members:    make(map[string]*memoryMember),
		clientView: register.View{Epoch: 1},
		random:     rand.New(rand.NewPCG(1, 2)),
	}
	for _, name := range names {
		c.clientView.Members = append(c.clientView.Members, register.Member{Node: name, Incarnation: name + "-1"})
		c.members[name] = &memoryMember{registers: make(map[string]replica.Register)}
	}
	c.memberView = c.clientView
	return c
}

func (c *memoryCluster) View(uint32) (register.View, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientView, true
}

func (c *memoryCluster) Learn(view register.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clientView = view
}

func (c *memoryCluster) ConfigurationVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clientVersion
}

func (c *memoryCluster) LearnConfiguration(_ context.Context, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clientVersion = max(c.clientVersion, version)
}

// setMemberEpoch sets an epoch and a configuration version that the members know and the
// clients don't.
func (c *memoryCluster) setMemberEpoch(epoch, configuration uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memberView.Epoch = epoch
	c.memberVersion = configuration
}

func (c *memoryCluster) checkFence(fence register.Fence) register.Refusal {
	switch {
	case fence.Epoch != c.memberView.Epoch:
		return register.RefusalEpoch
	case fence.ConfigurationVersion < c.memberVersion:
		return register.RefusalConfiguration
	}
	return register.RefusalNone
}

func (c *memoryCluster) isLost() bool {
	return c.lossPercent > 0 && c.random.IntN(100) < c.lossPercent
}

// loss decides whether a request fails before and after it takes effect.
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
	if refusal := c.checkFence(request.Fence); refusal != register.RefusalNone {
		return register.PrepareReply{Refusal: refusal, View: &c.memberView, ConfigurationVersion: c.memberVersion}, nil
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
	if refusal := c.checkFence(request.Fence); refusal != register.RefusalNone {
		return register.AcceptReply{Refusal: refusal, View: &c.memberView, ConfigurationVersion: c.memberVersion}, nil
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

// setFailure makes the named members fail permanently.
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

// counts returns the number of requests and the bytes of values transferred so far.
func (c *memoryCluster) counts() (prepares, accepts, bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.prepares, c.accepts, c.bytes
}
