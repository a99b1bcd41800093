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

// Replica serves the shards of one node. It is safe for concurrent use.
type Replica struct {
	incarnation   string
	store         replica.Store
	views         *Map
	configuration func() uint64
	acceptor      register.Acceptor
	locks         *stripedLocks
	copies        *copyTracker

	// requests is read-locked while a vote is processed.
	requests sync.RWMutex
	// durableVersion is the configuration version in the store, once isVersionLoaded is
	// set. Both are guarded by mutex.
	durableVersion  uint64
	isVersionLoaded bool

	mutex  sync.RWMutex
	shards map[uint32]*shardReplica
}

// NewReplica returns the replica of one incarnation. The configuration function returns the
// configuration version that the node knows.
func NewReplica(incarnation string, store replica.Store, views *Map, configuration func() uint64) *Replica {
	return &Replica{
		incarnation:   incarnation,
		store:         store,
		views:         views,
		configuration: configuration,
		locks:         newStripedLocks(),
		copies:        newCopyTracker(),
		shards:        make(map[uint32]*shardReplica),
	}
}

// Incarnation returns the incarnation of the node whose promises this replica keeps.
func (r *Replica) Incarnation() string { return r.incarnation }

// Shards returns the number of shards, or zero if it is unknown.
func (r *Replica) Shards() uint32 { return r.views.Count() }

// shardReplica returns the state of the shard, not necessarily loaded.
func (r *Replica) shardReplica(shard uint32) (*shardReplica, error) {
	if shard >= r.views.Count() {
		return nil, merry.Errorf("shard %d does not exist: the number of shards is %d", shard, r.views.Count())
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

// voteResult is the part of a reply that prepare and accept requests have in common.
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

// acceptorStep returns the next state of a register, or a refusal.
type acceptorStep func(current replica.Register) (next replica.Register, refusal register.Refusal)

// vote checks the fence, then loads, changes and stores the register atomically. A request
// whose context has ended is refused and changes nothing.
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
	// Successor registers don't depend on the configuration.
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

// PutTurn stores a turn unless ctx has ended. The reply names the ancestors that the shard
// lacks.
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
	missing, err := replica.PutTurnOfChain(r.store, fence.Shard, turn)
	if err != nil {
		return archive.Reply{Refusal: register.RefusalStorage}
	}
	return archive.Reply{Missing: missing}
}

// ReadTurns visits the turns of the program, starting at sequence from.
func (r *Replica) ReadTurns(_ context.Context, fence register.Fence, id string, from uint64, visit func(replica.Turn) error) (archive.Reply, error) {
	if refusal, view := r.checkRequest(fence, id); refusal != register.RefusalNone {
		return archive.Reply{Refusal: refusal, View: view}, nil
	}
	return archive.Reply{}, r.store.ReadTurns(fence.Shard, id, from, visit)
}

// checkRequest checks the fence of a request that may continue after the epoch has ended,
// such as a read of immutable data.
func (r *Replica) checkRequest(fence register.Fence, key string) (register.Refusal, *register.View) {
	current, err := r.acquire(fence.Shard)
	if err != nil {
		return register.RefusalStorage, nil
	}
	defer current.mutex.RUnlock()
	return r.checkFence(current.state, fence, key)
}

// CheckRequest returns why this replica refuses requests with the fence, if it does.
func (r *Replica) CheckRequest(fence register.Fence) register.Refusal {
	refusal, _ := r.checkRequest(fence, "")
	return refusal
}

// Peek returns the value that this replica accepted last. It is only a hint, since it may be
// outdated or undecided.
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

// EachRecord visits the accepted values of the shard's registers. They are only hints, since
// they may be outdated or undecided.
func (r *Replica) EachRecord(shard uint32, visit func(root string, value []byte) error) error {
	return r.store.EachRegister(shard, func(key string, state replica.Register) error {
		if isSuccessorKey(key) {
			return nil
		}
		return visit(key, state.Value)
	})
}

// version returns the newest configuration version that the replica knows, which is at
// least the one that it stored before a restart.
func (r *Replica) version() (uint64, error) {
	held, err := r.storedVersion()
	return max(held, r.configuration()), err
}

// storedVersion returns the configuration version in the store.
func (r *Replica) storedVersion() (uint64, error) {
	r.mutex.RLock()
	held, isLoaded := r.durableVersion, r.isVersionLoaded
	r.mutex.RUnlock()
	if isLoaded {
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

// PersistConfigurationVersion stores the configuration version and waits for the votes that were
// admitted under an older one. After it returns, the replica grants no change that was
// decided under an older version, not even after a restart with its data.
func (r *Replica) PersistConfigurationVersion() error {
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
