package shard

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

var errNoAnswer = errors.New("no answer")

// fakeMembers grant every request, except that the unresponsive one doesn't answer a request
// to precopy. They record whether a successor was proposed.
type fakeMembers struct {
	unresponsive string

	mutex     sync.Mutex
	registers map[string]replica.Register
	proposed  bool
}

func (m *fakeMembers) Prepare(_ context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next, reply := register.Acceptor{}.Prepare(m.registers[member.Node], request.Ballot)
	m.registers[member.Node] = next
	return reply, nil
}

func (m *fakeMembers) Accept(_ context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.proposed = true
	next, reply := register.Acceptor{}.Accept(m.registers[member.Node], request.Ballot, request.Value, request.Next)
	m.registers[member.Node] = next
	return reply, nil
}

func (m *fakeMembers) Seal(context.Context, register.Member, SealRequest) (archive.Reply, error) {
	return archive.Reply{}, nil
}

func (m *fakeMembers) Install(_ context.Context, member register.Member, request InstallRequest) (archive.Reply, error) {
	if request.TurnsOnly && member.Node == m.unresponsive {
		return archive.Reply{}, errNoAnswer
	}
	return archive.Reply{}, nil
}

func (m *fakeMembers) Open(context.Context, register.Member, OpenRequest) (archive.Reply, error) {
	return archive.Reply{}, nil
}

// TestDriveDoesNotProposeUnresponsiveMember guards against deciding a set with a member that
// is down: it would lose its majority with the next failure.
func TestDriveDoesNotProposeUnresponsiveMember(t *testing.T) {
	member := func(name string) register.Member { return register.Member{Node: name, Incarnation: name} }
	current := register.View{Epoch: FirstEpoch, Members: []register.Member{member("a"), member("b"), member("c")}}
	wanted := []register.Member{member("a"), member("b"), member("d")}
	for _, unresponsive := range []string{"a", "d"} {
		members := &fakeMembers{unresponsive: unresponsive, registers: make(map[string]replica.Register)}
		settings := register.DefaultSettings()
		settings.RequestTimeout = 50 * time.Millisecond
		driver := NewDriver("driver", members, NewMap(1), register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings, zap.NewNop())
		_, err := driver.Drive(context.Background(), current, wanted)
		assert.ErrorIs(t, err, errNoAnswer, "with %s unresponsive", unresponsive)
		assert.Assert(t, !members.proposed, "with %s unresponsive", unresponsive)
	}
}
