package shard

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// stripes is the number of locks that the registers share.
const stripes = 256

// Replica is one node's share of the shards. It is safe for concurrent use.
type Replica struct {
	incarnation   string
	store         replica.Store
	views         *Map
	configuration func() uint64
	acceptor      register.Acceptor
	locks         [stripes]sync.Mutex
}

// NewReplica makes the replica of one incarnation. The function gives the
// configuration version that the node knows.
func NewReplica(incarnation string, store replica.Store, views *Map, configuration func() uint64) *Replica {
	return &Replica{incarnation: incarnation, store: store, views: views, configuration: configuration}
}

// Incarnation names the life of the node whose promises this replica keeps.
func (r *Replica) Incarnation() string { return r.incarnation }

func (r *Replica) lock(key string) *sync.Mutex {
	return &r.locks[xxhash.Sum64String(key)%stripes]
}

// check compares a request's fence with what this replica is and knows.
func (r *Replica) check(fence register.Fence) (register.Refusal, *register.View) {
	if fence.Replica != r.incarnation {
		return register.RefusalIncarnation, nil
	}
	view, known := r.views.View(fence.Shard)
	switch {
	case !known:
		return register.RefusalNotReady, nil
	case view.Epoch > fence.Epoch:
		return register.RefusalEpoch, &view
	case view.Epoch < fence.Epoch:
		return register.RefusalNotReady, nil
	}
	return register.RefusalNone, nil
}

// Prepare answers a prepare request.
func (r *Replica) Prepare(_ context.Context, request register.PrepareRequest) register.PrepareReply {
	lock := r.lock(request.Key)
	lock.Lock()
	defer lock.Unlock()
	known := r.configuration()
	if refusal, view := r.check(request.Fence); refusal != register.RefusalNone {
		return register.PrepareReply{Refusal: refusal, View: view, ConfigurationVersion: known}
	}
	if request.Fence.ConfigurationVersion < known {
		return register.PrepareReply{Refusal: register.RefusalConfiguration, ConfigurationVersion: known}
	}
	state, err := r.store.LoadRegister(request.Fence.Shard, request.Key)
	if err != nil {
		return register.PrepareReply{Refusal: register.RefusalStorage, ConfigurationVersion: known}
	}
	next, reply := r.acceptor.Prepare(state, request.Ballot)
	reply.ConfigurationVersion = known
	if reply.Refusal == register.RefusalNone {
		if err := r.store.SaveRegister(request.Fence.Shard, request.Key, next); err != nil {
			return register.PrepareReply{Refusal: register.RefusalStorage, ConfigurationVersion: known}
		}
	}
	return reply
}

// Accept answers an accept request.
func (r *Replica) Accept(_ context.Context, request register.AcceptRequest) register.AcceptReply {
	lock := r.lock(request.Key)
	lock.Lock()
	defer lock.Unlock()
	known := r.configuration()
	if refusal, view := r.check(request.Fence); refusal != register.RefusalNone {
		return register.AcceptReply{Refusal: refusal, View: view, ConfigurationVersion: known}
	}
	if request.Fence.ConfigurationVersion < known {
		return register.AcceptReply{Refusal: register.RefusalConfiguration, ConfigurationVersion: known}
	}
	state, err := r.store.LoadRegister(request.Fence.Shard, request.Key)
	if err != nil {
		return register.AcceptReply{Refusal: register.RefusalStorage, ConfigurationVersion: known}
	}
	next, reply := r.acceptor.Accept(state, request.Ballot, request.Value, request.Next)
	reply.ConfigurationVersion = known
	if reply.Refusal == register.RefusalNone {
		if err := r.store.SaveRegister(request.Fence.Shard, request.Key, next); err != nil {
			return register.AcceptReply{Refusal: register.RefusalStorage, ConfigurationVersion: known}
		}
	}
	return reply
}

// PutTurn stores a turn.
func (r *Replica) PutTurn(_ context.Context, fence register.Fence, turn replica.Turn) archive.Reply {
	if refusal, view := r.check(fence); refusal != register.RefusalNone {
		return archive.Reply{Refusal: refusal, View: view}
	}
	if err := r.store.PutTurn(fence.Shard, turn); err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	return archive.Reply{}
}

// ReadTurns visits the program's turns from the given sequence on.
func (r *Replica) ReadTurns(_ context.Context, fence register.Fence, id string, from uint64, visit func(replica.Turn) error) (archive.Reply, error) {
	if refusal, view := r.check(fence); refusal != register.RefusalNone {
		return archive.Reply{Refusal: refusal, View: view}, nil
	}
	return archive.Reply{}, r.store.ReadTurns(fence.Shard, id, from, visit)
}

// Peek returns the value that this replica accepted last: a hint, since it may
// be out of date or undecided.
func (r *Replica) Peek(fence register.Fence, key string) ([]byte, register.Refusal) {
	if refusal, _ := r.check(fence); refusal != register.RefusalNone {
		return nil, refusal
	}
	state, err := r.store.LoadRegister(fence.Shard, key)
	if err != nil {
		return nil, register.RefusalStorage
	}
	return state.Value, register.RefusalNone
}

// EachRecord visits the values of the shard's registers as this replica has
// accepted them. They may be out of date, or undecided: a hint only.
func (r *Replica) EachRecord(shard uint32, visit func(root string, value []byte) error) error {
	return r.store.EachRegister(shard, func(key string, state replica.Register) error { return visit(key, state.Value) })
}

// Shards returns the number of shards.
func (r *Replica) Shards() uint32 { return r.views.Count() }
