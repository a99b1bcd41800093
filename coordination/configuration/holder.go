package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Holder has the snapshot in force at one node. Readers take it without a lock
// (read-copy-update); writers only ever move it to a newer version.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// mutex guards changed and orders the moves.
	mutex   sync.Mutex
	changed chan struct{}
}

// NewHolder makes a Holder with the empty snapshot.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the snapshot in force; nil, which is the empty snapshot,
// before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version in force.
func (h *Holder) Version() uint64 { return h.Current().Version() }

// Move puts the snapshot in force where it is newer; it tells whether it did.
func (h *Holder) Move(next *Snapshot) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if next.Version() <= h.Version() {
		return false
	}
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next move. To miss none, take
// the channel before reading Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// Wait returns the snapshot in force once its version is at least the given
// one.
func (h *Holder) Wait(ctx context.Context, version uint64) (*Snapshot, error) {
	for {
		changed := h.Changed()
		current := h.Current()
		if current.Version() >= version {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, merry.Errorf("waited for configuration version %d, have %d: %w", version, current.Version(), ctx.Err())
		}
	}
}
