package shard

import (
	"context"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// TestViewWithRepeatedNodeIsRejected checks that driver and replica reject a view with two
// incarnations of one node, which would count one disk twice.
func TestViewWithRepeatedNodeIsRejected(t *testing.T) {
	old, restarted := register.Member{Node: "a", Incarnation: "a-1"}, register.Member{Node: "a", Incarnation: "a-2"}
	other, third := register.Member{Node: "b", Incarnation: "b-1"}, register.Member{Node: "c", Incarnation: "c-1"}
	current := register.View{Epoch: FirstEpoch, Members: []register.Member{old, other, third}}
	repeated := register.View{Epoch: FirstEpoch + 1, Members: []register.Member{restarted, old, other}}
	assert.ErrorIs(t, repeated.Validate(), register.ErrDuplicateMember)
	assert.NilError(t, current.Validate())

	members := &fakeMembers{registers: make(map[string]replica.Register)}
	driver := NewDriver("driver", members, NewMap(1), register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
	_, err := driver.Drive(context.Background(), current, repeated.Members)
	assert.ErrorIs(t, err, register.ErrDuplicateMember)
	assert.Assert(t, !members.proposed)

	local := NewReplica(restarted.Incarnation, replica.NewMemory(), NewMap(1), func() uint64 { return 0 })
	installer := NewInstaller(local, nil, zap.NewNop())
	installed := installer.Install(context.Background(), InstallRequest{Previous: current, Successor: repeated})
	assert.Equal(t, installed.Refusal, register.RefusalEpoch)
	opened := local.Open(context.Background(), OpenRequest{View: repeated})
	assert.Equal(t, opened.Refusal, register.RefusalEpoch)
	sealed := local.Seal(context.Background(), SealRequest{Fence: fenceOf(current, restarted), Successor: repeated})
	assert.Equal(t, sealed.Refusal, register.RefusalEpoch)
}
