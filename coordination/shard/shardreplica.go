package shard

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/marblering/marblering/coordination/register"
)

// successorKeyPrefix is the prefix of the keys of the registers in which the members of an
// epoch decide the next view.
const successorKeyPrefix = "!successor-"

func successorKey(epoch uint64) string {
	return successorKeyPrefix + strconv.FormatUint(epoch, 10)
}

func isSuccessorKey(key string) bool { return strings.HasPrefix(key, successorKeyPrefix) }

// shardReplica is the state of one shard on a replica.
type shardReplica struct {
	// mutex is read-locked while a request is answered and write-locked while the state
	// changes, so that no request of an epoch is granted after the epoch has ended.
	mutex  sync.RWMutex
	loaded bool
	state  shardState
	// installSlot is held while the shard is installed.
	installSlot chan struct{}
}

func newShardReplica() *shardReplica { return &shardReplica{installSlot: make(chan struct{}, 1)} }

// acquire returns the shard with its state loaded and updated to the newest open view that
// the node knows. The caller must release the read lock of its mutex.
func (r *Replica) acquire(shard uint32) (*shardReplica, error) {
	local, err := r.shardReplica(shard)
	if err != nil {
		return nil, err
	}
	newest, _ := r.views.View(shard)
	local.mutex.RLock()
	if local.loaded && !local.state.isBehind(newest) {
		return local, nil
	}
	local.mutex.RUnlock()
	if err := r.applyOpenView(shard, local); err != nil {
		return nil, err
	}
	local.mutex.RLock()
	return local, nil
}

// isBehind reports whether the newest open view is newer than the state.
func (s shardState) isBehind(newest register.View) bool {
	return s.View.Epoch < newest.Epoch || s.Opened.Epoch < newest.Epoch
}

// applyOpenView loads the state and applies the newest open view to it: older epochs have
// ended, and the replica may serve its own epoch if that view opened it.
func (r *Replica) applyOpenView(shard uint32, local *shardReplica) error {
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if err := r.ensureLoaded(shard, local); err != nil {
		return err
	}
	newest, _ := r.views.View(shard)
	if !local.state.isBehind(newest) {
		return nil
	}
	next := local.state
	isFirst := next.View.Epoch == 0 && newest.Epoch == FirstEpoch && r.isMember(newest)
	if isFirst {
		// The shard starts empty, and this incarnation has never held data of it, so there is
		// nothing to install.
		next.DataEpoch = FirstEpoch
	}
	if next.View.Epoch < newest.Epoch {
		next = next.advanceTo(newest)
	}
	next.Opened = newest
	return r.setState(shard, local, next)
}

// ensureLoaded loads the state from the store if it isn't loaded. The caller holds the write lock.
func (r *Replica) ensureLoaded(shard uint32, local *shardReplica) error {
	if local.loaded {
		return nil
	}
	loaded, err := loadState(r.store, shard)
	if err != nil {
		return err
	}
	local.state = loaded
	local.loaded = true
	r.views.Learn(loaded.Opened)
	return nil
}

// setState stores the state, then sets it in memory. The caller holds the write lock.
func (r *Replica) setState(shard uint32, local *shardReplica, next shardState) error {
	if err := saveState(r.store, shard, next); err != nil {
		return err
	}
	local.state = next
	return nil
}

func (r *Replica) isMember(view register.View) bool {
	return slices.ContainsFunc(view.Members, func(member register.Member) bool {
		return member.Incarnation == r.incarnation
	})
}

// checkFence returns the refusal of a request whose fence doesn't match the replica's
// incarnation and the served epoch, and the view to return with it.
func (r *Replica) checkFence(current shardState, fence register.Fence, key string) (register.Refusal, *register.View) {
	open := r.openView(fence.Shard)
	switch {
	case fence.Replica != r.incarnation:
		return register.RefusalIncarnation, open
	case fence.Epoch < current.View.Epoch && isSuccessorKey(key) && current.successorOf(fence.Epoch) != nil:
		// A driver that is still deciding an epoch that has ended learns the successor.
		return register.RefusalSealed, current.successorOf(fence.Epoch)
	case open != nil && fence.Epoch < open.Epoch:
		return register.RefusalEpoch, open
	case fence.Epoch < current.View.Epoch:
		return register.RefusalSealed, nil
	case fence.Epoch > current.View.Epoch:
		return register.RefusalNotReady, nil
	case isSuccessorKey(key) && r.isMember(current.View):
		// A member decides the successor of its epoch whether or not it holds the data.
		return register.RefusalNone, nil
	case !current.isOpen():
		return register.RefusalNotReady, nil
	}
	return register.RefusalNone, nil
}

// openView returns the newest known open view of the shard, or nil if there is none.
func (r *Replica) openView(shard uint32) *register.View {
	view, found := r.views.View(shard)
	if !found {
		return nil
	}
	return &view
}
