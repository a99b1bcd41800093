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
	// mediumShard is the shard number under which copies are kept: the last but one. The
	// last is that of the replica's own state.
	mediumShard uint32 = 1<<32 - 2
	// namePrefix begins the name of a kept copy; the kind follows.
	namePrefix = "mirror-"
	// savePause lies between two writes, so that a burst of changes is written once
	// (chosen, not measured).
	savePause = 500 * time.Millisecond
)

// Kinds of objects that are mirrored.
const (
	KindConfiguration = "configuration"
	KindInstances     = "instances"
	KindSets          = "replica sets"
	KindNodes         = "storage nodes"
	KindRetirements   = "retirements"
)

// Kinds lists the kinds of which copies are kept for nodes that start while the store is
// away. The others are only passed on.
func Kinds() []string { return []string{KindConfiguration, KindInstances, KindSets} }

// Copy is one kind of objects as the store had them.
type Copy struct {
	Kind     string
	Snapshot follow.Snapshot
	// Heard is when the snapshot was taken in; zero where that was in an earlier life of
	// the holder.
	Heard time.Time
}

// Medium keeps small values on a disk. replica.Store is one.
type Medium interface {
	SaveMeta(shard uint32, name string, value []byte) error
	// LoadMeta returns nil where there is no such value.
	LoadMeta(shard uint32, name string) ([]byte, error)
}

// Holder keeps copies of what the store has, and tells what changes. It is a suture
// service and safe for concurrent use.
type Holder struct {
	medium Medium
	now    func() time.Time
	logger *zap.Logger

	mutex sync.Mutex
	// keeps are the kinds of which copies are kept.
	keeps []string
	// states are what is known of each kind, kept or not.
	states map[string]*kindState
	// unsaved are the kinds whose copy has changed since it was last written, and changed
	// tells that there are any.
	unsaved map[string]bool
	changed chan struct{}
}

// NewHolder makes a holder that keeps copies of the kinds, beginning with those that the
// medium has. A copy that can't be decoded is left out; it fails where the medium can't
// be read.
func NewHolder(kinds []string, medium Medium, now func() time.Time, logger *zap.Logger) (*Holder, error) {
	h := &Holder{
		medium: medium, now: now, logger: logger, keeps: kinds,
		states: make(map[string]*kindState), unsaved: make(map[string]bool), changed: make(chan struct{}, 1),
	}
	for _, kind := range kinds {
		if err := h.load(kind); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// load begins with the copy of the kind that the medium has.
func (h *Holder) load(kind string) error {
	encoded, err := h.medium.LoadMeta(mediumShard, namePrefix+kind)
	if err != nil {
		return merry.Prependf(err, "load the copy of %s", kind)
	}
	if encoded == nil {
		return nil
	}
	kept := Copy{Kind: kind}
	if err := json.Unmarshal(encoded, &kept.Snapshot); err != nil {
		h.logger.Warn("mirrored objects can't be read", zap.String("objects", kind), zap.Error(err))
		return nil
	}
	h.state(kind).kept = kept
	h.logger.Info("mirrored objects loaded", zap.String("objects", kind),
		zap.Int64("revision", kept.Snapshot.At), zap.Int("count", len(kept.Snapshot.Objects)))
	return nil
}

// Keep takes in what the store had. A snapshot that is older than the known one changes
// nothing.
func (h *Holder) Keep(kind string, snapshot follow.Snapshot) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := h.state(kind)
	if snapshot.At < held.kept.Snapshot.At {
		return
	}
	held.replace(snapshot, h.now())
	if !slices.Contains(h.keeps, kind) {
		return
	}
	h.unsaved[kind] = true
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// state returns the state of the kind, made where there is none. The mutex must be held.
func (h *Holder) state(kind string) *kindState {
	if h.states[kind] == nil {
		h.states[kind] = newKindState(kind)
	}
	return h.states[kind]
}

// Copies returns the copies that are kept, in the order of kinds.
func (h *Holder) Copies() []Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	copies := make([]Copy, 0, len(h.states))
	for kind, held := range h.states {
		if slices.Contains(h.keeps, kind) && held.kept.Snapshot.At > 0 {
			copies = append(copies, held.kept)
		}
	}
	slices.SortFunc(copies, func(a, b Copy) int { return strings.Compare(a.Kind, b.Kind) })
	return copies
}

// String names the service in the supervisor's messages.
func (h *Holder) String() string { return "holder of mirrored objects" }

// Serve writes changes to the medium until the context ends.
func (h *Holder) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.changed:
			h.save()
		}
		if sleep.For(ctx, savePause) != nil {
			return ctx.Err()
		}
	}
}

// save writes the copies that have changed.
func (h *Holder) save() {
	for _, kept := range h.takeUnsaved() {
		encoded, err := json.Marshal(kept.Snapshot)
		if err == nil {
			err = h.medium.SaveMeta(mediumShard, namePrefix+kept.Kind, encoded)
		}
		if err != nil {
			// The copy in memory serves on. A disk that takes no writes is noticed by the
			// replica store, and the node starts anew.
			h.logger.Warn("mirrored objects not saved", zap.String("objects", kept.Kind), zap.Error(err))
		}
	}
}

// takeUnsaved returns the copies to be written, which then count as written.
func (h *Holder) takeUnsaved() []Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var unsaved []Copy
	for kind := range h.unsaved {
		unsaved = append(unsaved, h.states[kind].kept)
	}
	clear(h.unsaved)
	return unsaved
}
