package shard

import (
	"context"
	"encoding/binary"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
)

// Replica is one node's share of the shards. It is safe for concurrent use.
type Replica struct {
	incarnation   string
	store         replica.Store
	views         *Map
	configuration func() uint64
	acceptor      register.Acceptor
	locks         *stripedLocks

	// requests is held for reading while a request is answered.
	requests sync.RWMutex
	// durableVersion is the configuration version in the store; durable is set
	// once it was read.
	durableVersion  uint64
	isVersionLoaded bool

	mutex  sync.RWMutex
	shards map[uint32]*shardReplica
}

// NewReplica makes the replica of one incarnation. The function gives the
// configuration version that the node knows.
func NewReplica(incarnation string, store replica.Store, views *Map, configuration func() uint64) *Replica {
	return &Replica{
		incarnation:   incarnation,
		store:         store,
		views:         views,
		configuration: configuration,
		locks:         newStripedLocks(),
		shards:        make(map[uint32]*shardReplica),
	}
}

// Incarnation names the life of the node whose promises this replica keeps.
func (r *Replica) Incarnation() string { return r.incarnation }

// Shards returns the number of shards, zero where it isn't known.
func (r *Replica) Shards() uint32 { return r.views.Count() }

// shardReplica returns the replica's shardReplica in the shard.
func (r *Replica) shardReplica(shard uint32) (*shardReplica, error) {
	if shard >= r.views.Count() {
		return nil, merry.Errorf("shard %d of %d", shard, r.views.Count())
	}
	r.mutex.RLock()
	found := r.shards[shard]
	r.mutex.RUnlock()
	if found != nil {
		return found, nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.shards[shard] == nil {
		r.shards[shard] = newShardReplica()
	}
	return r.shards[shard], nil
}

// voteResult is the part of a reply that doesn't depend on the kind of request.
type voteResult struct {
	refusal register.Refusal
	view    *register.View
	version uint64
}

// Prepare answers a prepare request.
func (r *Replica) Prepare(ctx context.Context, request register.PrepareRequest) register.PrepareReply {
	var reply register.PrepareReply
	result := r.vote(ctx, request.Fence, request.Key, func(current replica.Register) (replica.Register, register.Refusal) {
		var next replica.Register
		next, reply = r.acceptor.Prepare(current, request.Ballot)
		return next, reply.Refusal
	})
	if result.refusal != register.RefusalNone {
		reply = register.PrepareReply{Refusal: result.refusal, Promised: reply.Promised, View: result.view}
	}
	reply.ConfigurationVersion = result.version
	return reply
}

// Accept answers an accept request.
func (r *Replica) Accept(ctx context.Context, request register.AcceptRequest) register.AcceptReply {
	var reply register.AcceptReply
	result := r.vote(ctx, request.Fence, request.Key, func(current replica.Register) (replica.Register, register.Refusal) {
		var next replica.Register
		next, reply = r.acceptor.Accept(current, request.Ballot, request.Value, request.Next)
		return next, reply.Refusal
	})
	if result.refusal != register.RefusalNone {
		reply = register.AcceptReply{Refusal: result.refusal, Promised: reply.Promised, View: result.view}
	}
	reply.ConfigurationVersion = result.version
	return reply
}

type acceptorStep func(current replica.Register) (next replica.Register, refusal register.Refusal)

// vote checks the fence, loads the register, decides and stores the outcome as
// one step. A request whose caller has given up is refused and changes nothing.
func (r *Replica) vote(ctx context.Context, fence register.Fence, key string, decide acceptorStep) voteResult {
	r.requests.RLock()
	defer r.requests.RUnlock()
	version, err := r.version()
	if err != nil {
		return voteResult{refusal: register.RefusalStorage}
	}
	current, err := r.acquire(fence.Shard)
	if err != nil {
		return voteResult{refusal: register.RefusalStorage, version: version}
	}
	defer current.mutex.RUnlock()
	if refusal, view := r.checkFence(current.state, fence, key); refusal != register.RefusalNone {
		return voteResult{refusal: refusal, view: view, version: version}
	}
	// Who the members are doesn't depend on the configuration.
	if fence.ConfigurationVersion < version && !isSuccessorKey(key) {
		return voteResult{refusal: register.RefusalConfiguration, version: version}
	}
	return voteResult{refusal: r.updateRegister(ctx, fence.Shard, key, decide), version: version}
}

func (r *Replica) updateRegister(ctx context.Context, shard uint32, key string, decide acceptorStep) register.Refusal {
	unlock, held := r.locks.lock(ctx, shard, key)
	if !held {
		return register.RefusalNotReady
	}
	defer unlock()
	state, err := r.store.LoadRegister(shard, key)
	if err != nil {
		return register.RefusalStorage
	}
	next, refusal := decide(state)
	if refusal != register.RefusalNone {
		return refusal
	}
	if err := r.store.SaveRegister(shard, key, next); err != nil {
		return register.RefusalStorage
	}
	return register.RefusalNone
}

// PutTurn stores a turn, unless its caller has given up meanwhile.
func (r *Replica) PutTurn(ctx context.Context, fence register.Fence, turn replica.Turn) archive.Reply {
	current, err := r.acquire(fence.Shard)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	defer current.mutex.RUnlock()
	if refusal, view := r.checkFence(current.state, fence, turn.Program); refusal != register.RefusalNone {
		return archive.Reply{Refusal: refusal, View: view}
	}
	if ctx.Err() != nil {
		return archive.Reply{Refusal: register.RefusalNotReady}
	}
	if err := r.store.PutTurn(fence.Shard, turn); err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	return archive.Reply{}
}

// ReadTurns visits the program's turns from the given sequence on.
func (r *Replica) ReadTurns(_ context.Context, fence register.Fence, id string, from uint64, visit func(replica.Turn) error) (archive.Reply, error) {
	if refusal, view := r.checkRequest(fence, id); refusal != register.RefusalNone {
		return archive.Reply{Refusal: refusal, View: view}, nil
	}
	return archive.Reply{}, r.store.ReadTurns(fence.Shard, id, from, visit)
}

// checkRequest checks the fence of a request that may go on after the epoch has ended,
// as reading what doesn't change.
func (r *Replica) checkRequest(fence register.Fence, key string) (register.Refusal, *register.View) {
	current, err := r.acquire(fence.Shard)
	if err != nil {
		return register.RefusalStorage, nil
	}
	defer current.mutex.RUnlock()
	return r.checkFence(current.state, fence, key)
}

// Peek returns the value that this replica accepted last: a hint, since it may
// be out of date or undecided.
func (r *Replica) Peek(fence register.Fence, key string) ([]byte, register.Refusal) {
	if refusal, _ := r.checkRequest(fence, key); refusal != register.RefusalNone {
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
	return r.store.EachRegister(shard, func(key string, state replica.Register) error {
		if isSuccessorKey(key) {
			return nil
		}
		return visit(key, state.Value)
	})
}

// version returns the newest configuration version that the replica knows,
// which is what it held before a restart at least.
func (r *Replica) version() (uint64, error) {
	held, err := r.storedVersion()
	return max(held, r.configuration()), err
}

func (r *Replica) storedVersion() (uint64, error) {
	r.mutex.RLock()
	held, durable := r.durableVersion, r.isVersionLoaded
	r.mutex.RUnlock()
	if durable {
		return held, nil
	}
	raw, err := r.store.LoadMeta(nodeShard, configurationVersionName)
	if err != nil {
		return 0, merry.Prepend(err, "load configuration version")
	}
	if len(raw) == 8 {
		held = binary.BigEndian.Uint64(raw)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isVersionLoaded = true
	r.durableVersion = max(r.durableVersion, held)
	return r.durableVersion, nil
}

// HoldConfiguration makes the configuration version durable and waits for the
// requests that were let in under an older one. When it returns, no change that
// was decided under an older version is granted by this replica any more, also
// after a restart with its data.
func (r *Replica) HoldConfiguration() error {
	version, err := r.version()
	if err != nil {
		return err
	}
	raw := binary.BigEndian.AppendUint64(nil, version)
	if err := r.store.SaveMeta(nodeShard, configurationVersionName, raw); err != nil {
		return merry.Prependf(err, "save configuration version %d", version)
	}
	r.mutex.Lock()
	r.durableVersion = max(r.durableVersion, version)
	r.mutex.Unlock()
	r.requests.Lock()
	defer r.requests.Unlock()
	return nil
}
