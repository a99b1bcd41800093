package shard

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/marblering/marblering/coordination/register"
)

// successorKeyPrefix begins the keys of the registers in which the members of
// an epoch decide the next view.
const successorKeyPrefix = "!successor-"

func successorKey(epoch uint64) string {
	return successorKeyPrefix + strconv.FormatUint(epoch, 10)
}

func isSuccessorKey(key string) bool { return strings.HasPrefix(key, successorKeyPrefix) }

// shardReplica is a replica's shardReplica in one shard.
type shardReplica struct {
	// mutex is held for reading while a request is answered, for writing while
	// the state changes: no request of an epoch is answered once it has ended.
	mutex  sync.RWMutex
	loaded bool
	state  shardState
	// installSlot is held while the shard is copied.
	installSlot chan struct{}
}

func newShardReplica() *shardReplica { return &shardReplica{installSlot: make(chan struct{}, 1)} }

// acquire returns the part with its state loaded and brought up to what the
// node knows to be open. The caller must release its read lock.
func (r *Replica) acquire(shard uint32) (*shardReplica, error) {
	p, err := r.shardReplica(shard)
	if err != nil {
		return nil, err
	}
	newest, _ := r.views.View(shard)
	p.mutex.RLock()
	if p.loaded && !p.state.isBehind(newest) {
		return p, nil
	}
	p.mutex.RUnlock()
	if err := r.applyOpenView(shard, p); err != nil {
		return nil, err
	}
	p.mutex.RLock()
	return p, nil
}

// isBehind tells whether the newest open view changes the state.
func (s shardState) isBehind(newest register.View) bool {
	return s.View.Epoch < newest.Epoch || s.Opened.Epoch < newest.Epoch
}

// applyOpenView loads the state and takes in the newest open view: an older epoch has
// ended, the replica's own may be served.
func (r *Replica) applyOpenView(shard uint32, p *shardReplica) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := r.ensureLoaded(shard, p); err != nil {
		return err
	}
	newest, _ := r.views.View(shard)
	if !p.state.isBehind(newest) {
		return nil
	}
	next := p.state
	isFirst := next.View.Epoch == 0 && newest.Epoch == FirstEpoch && r.isMember(newest)
	if isFirst {
		// The members of the first epoch begin empty, and this incarnation has
		// never held anything of the shard.
		next.DataEpoch = FirstEpoch
	}
	if next.View.Epoch < newest.Epoch {
		next = next.advanceTo(newest)
	}
	next.Opened = newest
	return r.setState(shard, p, next)
}

// ensureLoaded reads the state from the store once. The caller holds the lock.
func (r *Replica) ensureLoaded(shard uint32, p *shardReplica) error {
	if p.loaded {
		return nil
	}
	loaded, err := loadState(r.store, shard)
	if err != nil {
		return err
	}
	p.state = loaded
	p.loaded = true
	r.views.Learn(loaded.Opened)
	return nil
}

// setState stores the state before it takes effect. The caller holds the lock.
func (r *Replica) setState(shard uint32, p *shardReplica, next shardState) error {
	if err := saveState(r.store, shard, next); err != nil {
		return err
	}
	p.state = next
	return nil
}

func (r *Replica) isMember(view register.View) bool {
	return slices.ContainsFunc(view.Members, func(member register.Member) bool {
		return member.Incarnation == r.incarnation
	})
}

// checkFence compares a request's fence with what this replica is and knows.
func (r *Replica) checkFence(current shardState, fence register.Fence, key string) (register.Refusal, *register.View) {
	open := r.openView(fence.Shard)
	switch {
	case fence.Replica != r.incarnation:
		return register.RefusalIncarnation, open
	case fence.Epoch < current.View.Epoch && isSuccessorKey(key) && current.successorOf(fence.Epoch) != nil:
		// Who decides about an epoch that has ended is told what follows it.
		return register.RefusalSealed, current.successorOf(fence.Epoch)
	case open != nil && fence.Epoch < open.Epoch:
		return register.RefusalEpoch, open
	case fence.Epoch < current.View.Epoch:
		return register.RefusalSealed, nil
	case fence.Epoch > current.View.Epoch, !current.isInstalled():
		return register.RefusalNotReady, nil
	case !current.isOpen() && !isSuccessorKey(key):
		return register.RefusalNotReady, nil
	}
	return register.RefusalNone, nil
}

// openView returns the newest view of the shard that is known to be open.
func (r *Replica) openView(shard uint32) *register.View {
	view, found := r.views.View(shard)
	if !found {
		return nil
	}
	return &view
}
