package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
)

// Options configures a Follower.
type Options struct {
	// Name identifies the kind of objects in log lines.
	Name     string
	Source   Source
	Settings Settings
	// OnLost is called when the store becomes unavailable; it may be nil.
	OnLost func()
	// Apply is called with the complete view after each change. Calls don't overlap.
	Apply  func(Snapshot)
	Logger *zap.Logger
	Now    func() time.Time
}

// Follower keeps a copy of one kind of objects up to date. It implements suture.Service.
type Follower struct {
	options Options
	// mutex guards view and is held during Options.Apply.
	mutex sync.Mutex
	view  view
	// lastAnswer is when the store last answered, in nanoseconds since the Unix epoch;
	// zero for never.
	lastAnswer atomic.Int64
	// confirmedAt is when the store last answered with the view, or with changes that have been
	// applied since, in the same form.
	confirmedAt atomic.Int64
	// provedAt is the latest time before which the store is known to have had
	// nothing newer than the view; nil if there is none.
	provedAt atomic.Pointer[time.Time]
	// lost is set while calls to the store fail.
	lost atomic.Bool
	// relist is set if the view may have missed changes. Only Serve uses it.
	relist bool
}

// New returns a follower with an empty view.
func New(options Options) *Follower {
	return &Follower{options: options, relist: true}
}

// String returns the service name for the supervisor's log messages.
func (f *Follower) String() string { return "follower of " + f.options.Name }

// Serve follows the objects until the context ends, with exponential backoff after
// failed calls.
func (f *Follower) Serve(ctx context.Context) error {
	pause := f.options.Settings.MinBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			pause = f.options.Settings.MinBackoff
			continue
		}
		f.recordFailure(err)
		if sleep.For(ctx, sleep.Jitter(pause)) != nil {
			break
		}
		pause = min(2*pause, f.options.Settings.MaxBackoff)
	}
	return ctx.Err()
}

// step makes one call to the source and applies its result.
func (f *Follower) step(ctx context.Context) error {
	if f.relist {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// list fetches all objects and replaces the view with them.
func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.Settings.ListTimeout)
	defer cancel()
	snapshot, err := f.options.Source.List(bounded)
	if err != nil {
		return err
	}
	answered := f.options.Now().Add(-snapshot.Age)
	f.recordAnswer(answered)
	f.logUnreadable(snapshot.Unnamed, snapshot.At)
	if !f.replaceView(snapshot) {
		f.options.Logger.Warn("outdated listing ignored", zap.String("objects", f.options.Name),
			zap.Int64("revision", snapshot.At), zap.Int64("known_revision", f.revision()))
		return fmt.Errorf("listing has revision %d, older than the known revision %d", snapshot.At, f.revision())
	}
	f.recordConfirmation(answered)
	f.recordProof(snapshot.FreshAt)
	f.relist = false
	f.options.Logger.Info("objects listed", zap.String("objects", f.options.Name),
		zap.Int64("revision", snapshot.At), zap.Int("count", len(snapshot.Objects)))
	return nil
}

// replaceView replaces the view and applies it, unless the snapshot is older. It reports
// whether it did.
func (f *Follower) replaceView(snapshot Snapshot) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.view.replace(snapshot) {
		return false
	}
	f.options.Apply(f.view.snapshot())
	return true
}

// ApplyIfNewer replaces the view with a snapshot that another node got from the store if it is
// newer, and reports whether it did. This proves nothing about how current the view is.
func (f *Follower) ApplyIfNewer(snapshot Snapshot) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.view.initialized && snapshot.At <= f.view.revision {
		return false
	}
	f.view.replace(snapshot)
	f.options.Apply(f.view.snapshot())
	return true
}

// IsLost reports whether the last call to the source failed.
func (f *Follower) IsLost() bool { return f.lost.Load() }

// IsKnown reports whether the view has been filled by a snapshot.
func (f *Follower) IsKnown() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.initialized
}

// revision returns the store's revision that the view reflects.
func (f *Follower) revision() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.revision
}

// watch waits for changes and applies them.
func (f *Follower) watch(ctx context.Context) error {
	settings := f.options.Settings
	bounded, cancel := context.WithTimeout(ctx, settings.WatchWait+settings.WatchGrace)
	defer cancel()
	changes, err := f.options.Source.Watch(bounded, f.revision(), settings.WatchWait)
	if errors.Is(err, ErrHistoryCompacted) {
		f.options.Logger.Info("change history gone, listing again", zap.String("objects", f.options.Name), zap.Int64("revision", f.revision()))
		f.relist = true
		return nil
	}
	if err != nil {
		return err
	}
	answered := f.options.Now().Add(-changes.Age)
	f.recordAnswer(answered)
	f.logUnreadable(changes.Unnamed, changes.At)
	changed := f.applyChanges(changes)
	f.recordConfirmation(answered)
	f.recordProof(changes.FreshAt)
	if changed {
		_ = sleep.For(ctx, settings.BatchDelay)
	}
	return nil
}

// applyChanges updates the view, applies it if it changed, and reports whether it did.
func (f *Follower) applyChanges(changes Changes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.view.applyChanges(changes) {
		return false
	}
	f.options.Apply(f.view.snapshot())
	return true
}

// recordFailure decides whether to list again after a failed call, and logs and reports
// the first failure in a row.
func (f *Follower) recordFailure(err error) {
	f.relist = f.relist || needsListing(err)
	if f.lost.Swap(true) {
		return
	}
	f.options.Logger.Warn("store lost", zap.String("objects", f.options.Name),
		zap.Int64("revision", f.revision()), zap.Error(err))
	if f.options.OnLost != nil {
		f.options.OnLost()
	}
}

// needsListing reports whether a failed call requires a new listing: a lost response may
// have held changes. After ErrNotQueried the watch goes on instead. Another node refuses
// a listing while its revision is older than the known one, which is common even when it
// misses no change, since the revision covers all kinds of objects; listing would then
// always end at the store itself.
func needsListing(err error) bool { return !errors.Is(err, ErrNotQueried) }

// logUnreadable logs how many objects were skipped because they have no name.
func (f *Follower) logUnreadable(count int, revision int64) {
	if count > 0 {
		f.options.Logger.Warn("objects without a name skipped", zap.String("objects", f.options.Name),
			zap.Int64("revision", revision), zap.Int("count", count))
	}
}
