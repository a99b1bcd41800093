package register_test

import (
	"context"
	"sync"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// memoryMember is a replica in memory, reached without a network.
type memoryMember struct {
	mutex     sync.Mutex
	fence     register.Fence
	registers map[string]replica.Register
	// failure is returned instead of an answer; with dropAnswer only after the
	// request had its effect.
	failure    error
	dropAnswer bool
	accepts    int
	prepares   int
}

// memoryCluster is a Transport and the Views of one shard.
type memoryCluster struct {
	mutex   sync.Mutex
	view    register.View
	version uint64
	members map[string]*memoryMember
	learned []uint64
}

func newMemoryCluster(names ...string) *memoryCluster {
	c := &memoryCluster{view: register.View{Epoch: 1}, members: make(map[string]*memoryMember)}
	for _, name := range names {
		c.view.Members = append(c.view.Members, register.Member{Node: name, Incarnation: name + "-1"})
		c.members[name] = &memoryMember{
			fence:     register.Fence{Epoch: 1, Replica: name + "-1"},
			registers: make(map[string]replica.Register),
		}
	}
	return c
}

func (c *memoryCluster) View(uint32) (register.View, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view, true
}

func (c *memoryCluster) Learn(view register.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if view.Epoch > c.view.Epoch {
		c.view = view
	}
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
	c.learned = append(c.learned, version)
}

func (m *memoryMember) check(fence register.Fence) register.Refusal {
	switch {
	case fence.Replica != m.fence.Replica:
		return register.RefusalIncarnation
	case fence.Epoch != m.fence.Epoch:
		return register.RefusalEpoch
	case fence.ConfigurationVersion < m.fence.ConfigurationVersion:
		return register.RefusalConfiguration
	}
	return register.RefusalNone
}

func (c *memoryCluster) Prepare(_ context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	m := c.members[member.Node]
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.prepares++
	if m.failure != nil && !m.dropAnswer {
		return register.PrepareReply{}, m.failure
	}
	if refusal := m.check(request.Fence); refusal != register.RefusalNone {
		return register.PrepareReply{Refusal: refusal, ConfigurationVersion: m.fence.ConfigurationVersion}, nil
	}
	state, reply := register.Acceptor{}.Prepare(m.registers[request.Key], request.Ballot)
	m.registers[request.Key] = state
	return reply, m.failure
}

func (c *memoryCluster) Accept(_ context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	m := c.members[member.Node]
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepts++
	if m.failure != nil && !m.dropAnswer {
		return register.AcceptReply{}, m.failure
	}
	if refusal := m.check(request.Fence); refusal != register.RefusalNone {
		return register.AcceptReply{Refusal: refusal, ConfigurationVersion: m.fence.ConfigurationVersion}, nil
	}
	state, reply := register.Acceptor{}.Accept(m.registers[request.Key], request.Ballot, request.Value, request.Next)
	m.registers[request.Key] = state
	return reply, m.failure
}

func (m *memoryMember) setFailure(failure error, dropAnswer bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failure = failure
	m.dropAnswer = dropAnswer
}

// counts returns the requests that reached the members.
func (c *memoryCluster) counts() (prepares, accepts int) {
	for _, m := range c.members {
		m.mutex.Lock()
		prepares += m.prepares
		accepts += m.accepts
		m.mutex.Unlock()
	}
	return prepares, accepts
}
