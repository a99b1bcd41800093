package antientropy_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/antientropy"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

// fixture is the node "self", which lacks turns of shard 0, and other members of replica sets.
type fixture struct {
	service *antientropy.Service
	codec   *turn.Codec
	views   []register.View
	lacking map[uint32][]string
	// stored are the turns by member and id, written those that self has stored.
	stored  map[string]map[string]replica.Turn
	written []string
	// unreachable are the members that don't answer; requests counts all requests.
	unreachable map[string]bool
	requests    int
	// asked counts the requests by member.
	asked map[string]int
	// refusal is that of writes, notReady that of all requests to self.
	refusal, notReady register.Refusal
	now               time.Time
}

func newFixture() *fixture {
	f := &fixture{
		stored: make(map[string]map[string]replica.Turn), lacking: make(map[uint32][]string), unreachable: make(map[string]bool), asked: make(map[string]int), now: time.Unix(1_000_000, 0),
	}
	f.codec, _ = turn.NewCodec()
	f.views = []register.View{newView(1, "c", "d"), newView(0, "self", "b")}
	f.service, _ = antientropy.New(antientropy.Options{
		Incarnation: "self", Chains: f, Writer: f, Reader: f, Views: f, Now: func() time.Time { return f.now }, Logger: zap.NewNop(),
	})
	return f
}

func newView(shard uint32, names ...string) register.View {
	view := register.View{Shard: shard, Epoch: 1}
	for _, name := range names {
		view.Members = append(view.Members, register.Member{Node: name, Incarnation: name, Address: name})
	}
	return view
}

// add adds a turn to the data of the member.
func (f *fixture) add(member, id string) {
	object, digest, _ := f.codec.Encode(&statev1.RetainedTurn{Id: id})
	if f.stored[member] == nil {
		f.stored[member] = make(map[string]replica.Turn)
	}
	f.stored[member][id] = replica.Turn{Program: id, Sequence: 1, Digest: digest, Object: object}
}

func (f *fixture) Views() []register.View { return f.views }

func (f *fixture) Lacking() map[uint32][]string { return f.lacking }

func (f *fixture) CheckRequest(register.Fence) register.Refusal { return f.notReady }

func (f *fixture) PutTurn(_ context.Context, fence register.Fence, stored replica.Turn) archive.Reply {
	if f.refusal == register.RefusalNone {
		f.written = append(f.written, fmt.Sprint(fence.Shard, "/", stored.Program))
	}
	return archive.Reply{Refusal: f.refusal}
}

func (f *fixture) ReadMany(_ context.Context, member register.Member, _ register.Fence, ids []string) ([]replica.Turn, archive.Reply, error) {
	f.requests++
	f.asked[member.Node]++
	if f.unreachable[member.Node] {
		return nil, archive.Reply{}, errors.New("no answer")
	}
	var found []replica.Turn
	for _, id := range ids {
		if stored, isStored := f.stored[member.Node][id]; isStored {
			found = append(found, stored)
		}
	}
	return found, archive.Reply{}, nil
}

func Example() {
	f := newFixture()
	f.add("b", "first")
	f.add("d", "second")
	f.lacking[0] = []string{"first", "second"}
	f.service.Round(context.Background())
	fmt.Println(f.written)
	// Output: [0/first 0/second]
}

// TestNothingIsAskedIfNothingIsLacking guards against requests of replicas whose chains are
// whole, of nodes that aren't members of the shard, and of members to which it is being copied.
func TestNothingIsAskedIfNothingIsLacking(t *testing.T) {
	f := newFixture()
	f.service.Round(t.Context())
	f.lacking[1] = []string{"other"}
	f.service.Round(t.Context())
	f.lacking[0], f.notReady = []string{"first"}, register.RefusalNotReady
	f.service.Round(t.Context())
	assert.Equal(t, f.requests, 0)
}

// TestTurnThatNobodyHasIsAskedForSeldom guards against requests in each round for turns that
// all replicas have deleted.
func TestTurnThatNobodyHasIsAskedForSeldom(t *testing.T) {
	f := newFixture()
	f.lacking[0] = []string{"gone"}
	for range 5 {
		f.service.Round(t.Context())
	}
	assert.Equal(t, f.requests, 3)
	f.now = f.now.Add(2 * time.Minute)
	f.add("d", "gone")
	f.service.Round(t.Context())
	assert.DeepEqual(t, f.written, []string{"0/gone"})
}

// TestTurnIsAskedForAgainAfterAFailure guards against turns that are given up while a replica
// doesn't answer, sends a damaged copy, or this node can't store them.
func TestTurnIsAskedForAgainAfterAFailure(t *testing.T) {
	for name, fault := range map[string]func(f *fixture) (end func()){
		"no answer": func(f *fixture) func() {
			f.unreachable["d"] = true
			return func() { f.unreachable["d"] = false }
		},
		"damaged copy": func(f *fixture) func() {
			damaged := f.stored["d"]["first"]
			damaged.Object = []byte("damaged")
			f.stored["d"]["first"] = damaged
			return func() { f.add("d", "first") }
		},
		"refused": func(f *fixture) func() {
			f.refusal = register.RefusalNotReady
			return func() { f.refusal = register.RefusalNone }
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.add("d", "first")
			f.lacking[0] = []string{"first"}
			end := fault(f)
			f.service.Round(t.Context())
			assert.Equal(t, len(f.written), 0)
			end()
			f.service.Round(t.Context())
			assert.DeepEqual(t, f.written, []string{"0/first"})
		})
	}
}

// TestRoundIsBounded guards against a node that asks for all turns of a large disk at once.
func TestRoundIsBounded(t *testing.T) {
	f := newFixture()
	for number := range 5000 {
		f.lacking[0] = append(f.lacking[0], fmt.Sprint("turn", number))
		f.add("b", fmt.Sprint("turn", number))
	}
	f.service.Round(t.Context())
	assert.Assert(t, f.requests <= 16, "%d requests", f.requests)
	assert.Equal(t, len(f.written), 512)
}

// TestUnreachableMemberIsAskedOnceARound guards against rounds that wait for the same node again
// and again, for each batch of turns and each of its replica sets.
func TestUnreachableMemberIsAskedOnceARound(t *testing.T) {
	f := newFixture()
	f.views = append(f.views, newView(2, "b", "d"))
	f.unreachable["b"] = true
	for number := range 100 {
		f.lacking[0] = append(f.lacking[0], fmt.Sprint("turn", number))
	}
	f.service.Round(t.Context())
	assert.Equal(t, f.asked["b"], 1)
	assert.Assert(t, f.asked["d"] > 1)
	f.service.Round(t.Context())
	assert.Equal(t, f.asked["b"], 2)
}
