package mirror

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// copyShard is the shard number under which copies are stored: the last but one. The
	// last is used for the replica's own state.
	copyShard uint32 = 1<<32 - 2
	// copyNamePrefix precedes the kind in the name of a stored copy.
	copyNamePrefix = "mirror-"
	// saveInterval is the pause after a write, so that a burst of changes is written once.
	saveInterval = 500 * time.Millisecond
)

// Kinds of mirrored objects.
const (
	KindConfiguration = "configuration"
	KindInstances     = "instances"
	KindReplicaSets   = "replica sets"
	KindNodes         = "storage nodes"
	KindRetirements   = "retirements"
)

// PersistedKinds returns the kinds whose copies are persisted, for nodes that start while the store
// is unavailable. Other kinds are only passed on.
func PersistedKinds() []string { return []string{KindConfiguration, KindInstances, KindReplicaSets} }

// Copy is a snapshot of one kind of objects.
type Copy struct {
	Kind     string
	Snapshot follow.Snapshot
	// ReceivedAt is when the snapshot was received; zero if the holder has restarted since.
	ReceivedAt time.Time
}

// MetaStore persists small values. replica.Store implements it.
type MetaStore interface {
	SaveMeta(shard uint32, name string, value []byte) error
	// LoadMeta returns nil if there is no such value.
	LoadMeta(shard uint32, name string) ([]byte, error)
}

// Holder keeps copies of the store's objects and serves their changes to other nodes. It is
// a suture service and safe for concurrent use.
type Holder struct {
	medium MetaStore
	now    func() time.Time
	logger *zap.Logger

	mutex sync.Mutex
	// persistedKinds are the kinds whose copies are written to the medium.
	persistedKinds []string
	// states hold every followed kind, persisted or not.
	states map[string]*kindState
	// unsaved are the kinds whose copy has changed since it was last written; saveRequested
	// signals that there are any.
	unsaved       map[string]bool
	saveRequested chan struct{}
}

// NewHolder creates a holder that persists the kinds, and loads their copies from the
// medium. Copies that can't be decoded are ignored; it fails if the medium can't be read.
func NewHolder(kinds []string, medium MetaStore, now func() time.Time, logger *zap.Logger) (*Holder, error) {
	h := &Holder{
		medium: medium, now: now, logger: logger, persistedKinds: kinds,
		states: make(map[string]*kindState), unsaved: make(map[string]bool), saveRequested: make(chan struct{}, 1),
	}
	for _, kind := range kinds {
		if err := h.loadCopy(kind); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// loadCopy loads the copy of the kind from the medium, if there is one.
func (h *Holder) loadCopy(kind string) error {
	encoded, err := h.medium.LoadMeta(copyShard, copyNamePrefix+kind)
	if err != nil {
		return merry.Prependf(err, "load mirrored copy of %s", kind)
	}
	if encoded == nil {
		return nil
	}
	loaded := Copy{Kind: kind}
	if err := json.Unmarshal(encoded, &loaded.Snapshot); err != nil {
		h.logger.Warn("cannot decode mirrored objects", zap.String("objects", kind), zap.Error(err))
		return nil
	}
	h.state(kind).latest = loaded
	h.logger.Info("mirrored objects loaded", zap.String("objects", kind),
		zap.Int64("revision", loaded.Snapshot.At), zap.Int("count", len(loaded.Snapshot.Objects)))
	return nil
}

// Update replaces the copy of the kind, unless the snapshot is older.
func (h *Holder) Update(kind string, snapshot follow.Snapshot) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := h.state(kind)
	if snapshot.At < state.latest.Snapshot.At {
		return
	}
	state.update(snapshot, h.now())
	if !slices.Contains(h.persistedKinds, kind) {
		return
	}
	h.unsaved[kind] = true
	select {
	case h.saveRequested <- struct{}{}:
	default:
	}
}

// state returns the state of the kind and creates it if needed. The mutex must be held.
func (h *Holder) state(kind string) *kindState {
	if h.states[kind] == nil {
		h.states[kind] = newKindState(kind)
	}
	return h.states[kind]
}

// Copies returns the copies of the persisted kinds, sorted by kind.
func (h *Holder) Copies() []Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copies := make([]Copy, 0, len(h.states))
	for kind, state := range h.states {
		if slices.Contains(h.persistedKinds, kind) && state.latest.Snapshot.At > 0 {
			copies = append(copies, state.latest)
		}
	}
	slices.SortFunc(copies, func(a, b Copy) int { return strings.Compare(a.Kind, b.Kind) })
	return copies
}

// String names the service in the supervisor's messages.
func (h *Holder) String() string { return "mirror holder" }

// Serve writes changed copies to the medium until the context ends.
func (h *Holder) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.saveRequested:
			h.saveCopies()
		}
		if sleep.For(ctx, saveInterval) != nil {
			return ctx.Err()
		}
	}
}

// saveCopies writes the changed copies to the medium.
func (h *Holder) saveCopies() {
	for _, unsaved := range h.takeUnsaved() {
		encoded, err := json.Marshal(unsaved.Snapshot)
		if err == nil {
			err = h.medium.SaveMeta(copyShard, copyNamePrefix+unsaved.Kind, encoded)
		}
		if err != nil {
			// The copy in memory remains in use. The replica store detects a disk that
			// can't be written, and the node restarts.
			h.logger.Warn("cannot save mirrored objects", zap.String("objects", unsaved.Kind), zap.Error(err))
		}
	}
}

// takeUnsaved returns the copies to be written and marks them as saved.
func (h *Holder) takeUnsaved() []Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var unsaved []Copy
	for kind := range h.unsaved {
		unsaved = append(unsaved, h.states[kind].latest)
	}
	clear(h.unsaved)
	return unsaved
}
