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

var errSilent = errors.New("no answer")

// silentMembers grant everything, but for one that doesn't answer to the request
// to copy ahead. They note whether a successor was proposed.
type silentMembers struct {
	silent string

	mutex     sync.Mutex
	registers map[string]replica.Register
	proposed  bool
}

func (m *silentMembers) Prepare(_ context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next, reply := register.Acceptor{}.Prepare(m.registers[member.Node], request.Ballot)
	m.registers[member.Node] = next
	return reply, nil
}

func (m *silentMembers) Accept(_ context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.proposed = true
	next, reply := register.Acceptor{}.Accept(m.registers[member.Node], request.Ballot, request.Value, request.Next)
	m.registers[member.Node] = next
	return reply, nil
}

func (m *silentMembers) Seal(context.Context, register.Member, SealRequest) (archive.Reply, error) {
	return archive.Reply{}, nil
}

func (m *silentMembers) Install(_ context.Context, member register.Member, request InstallRequest) (archive.Reply, error) {
	if request.TurnsOnly && member.Node == m.silent {
		return archive.Reply{}, errSilent
	}
	return archive.Reply{}, nil
}

func (m *silentMembers) Open(context.Context, register.Member, OpenRequest) (archive.Reply, error) {
	return archive.Reply{}, nil
}

// TestNoSetIsProposedWithASilentMember: a set that is decided with a member that
// doesn't answer loses its majority with the next loss.
func TestNoSetIsProposedWithASilentMember(t *testing.T) {
	member := func(name string) register.Member { return register.Member{Node: name, Incarnation: name} }
	current := register.View{Epoch: FirstEpoch, Members: []register.Member{member("a"), member("b"), member("c")}}
	wanted := []register.Member{member("a"), member("b"), member("d")}
	for _, silent := range []string{"a", "d"} {
		members := &silentMembers{silent: silent, registers: make(map[string]replica.Register)}
		settings := register.DefaultSettings()
		settings.RequestTimeout = 50 * time.Millisecond
		driver := NewDriver("driver", members, NewMap(1), register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), settings, zap.NewNop())
		_, err := driver.Drive(context.Background(), current, wanted)
		assert.ErrorIs(t, err, errSilent, "%s is silent", silent)
		assert.Assert(t, !members.proposed, "%s is silent", silent)
	}
}
