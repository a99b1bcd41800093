package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/sleep"
)

// ErrHistoryGone is what a Source returns where it no longer has the changes
// since the revision that was asked for.
var ErrHistoryGone = errors.New("the store's history is gone")

// ErrNobodyAsked is what a Source returns where it made no call that may have lost
// changes, so that the next one can go on from the same revision.
var ErrNobodyAsked = errors.New("the store wasn't asked")

// Source is one kind of objects in a store.
type Source interface {
	// List returns every object, as the store had them the snapshot's age ago.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes since a revision as soon as there are any, and
	// none after about the wait.
	Watch(ctx context.Context, from int64, wait time.Duration) (Changes, error)
}

// Settings are the bounds of a follower's calls.
type Settings struct {
	// ListTimeout bounds one listing.
	ListTimeout time.Duration
	// WatchWait is how long the store may hold a call without changes.
	WatchWait time.Duration
	// WatchSlack is how much longer than WatchWait an answer may take. Both
	// together bound how long a silent store goes unnoticed.
	WatchSlack time.Duration
	// Gather is the pause after changes, so that those that follow soon come in
	// one answer.
	Gather time.Duration
	// MinPause and MaxPause bound the pause after a failed call, which doubles
	// from one to the other.
	MinPause time.Duration
	MaxPause time.Duration
}

// DefaultSettings notice a silent store within three seconds.
func DefaultSettings() Settings {
	return Settings{
		ListTimeout: 1500 * time.Millisecond,
		WatchWait:   2 * time.Second,
		WatchSlack:  700 * time.Millisecond,
		Gather:      150 * time.Millisecond,
		MinPause:    50 * time.Millisecond,
		MaxPause:    400 * time.Millisecond,
	}
}

// Options are the parts of a Follower.
type Options struct {
	// Name stands in log lines.
	Name     string
	Source   Source
	Settings Settings
	// Lost is told when the store doesn't answer any more; nil for nobody.
	Lost func()
	// Apply is called with the whole view after each change of it, one call at
	// a time.
	Apply  func(Snapshot)
	Logger *zap.Logger
	Now    func() time.Time
}

// Follower keeps the view of one kind of objects. It is a suture service.
type Follower struct {
	options Options
	// mutex guards the view, and is held while it is applied.
	mutex sync.Mutex
	view  view
	// heard is when the store last answered, in nanoseconds of the Unix epoch;
	// zero for never.
	heard atomic.Int64
	// proved is the newest moment before which the store is known to have had
	// nothing newer than the view; nil for none.
	proved atomic.Pointer[time.Time]
	// lost is set while the store doesn't answer.
	lost atomic.Bool
	// relist is set where the view may have missed changes.
	relist bool
}

// New makes a follower that knows nothing yet.
func New(options Options) *Follower {
	return &Follower{options: options, relist: true}
}

// String names the service in the supervisor's messages.
func (f *Follower) String() string { return "follower of " + f.options.Name }

// Age is how long ago the store last answered; ok is false before the first
// answer.
func (f *Follower) Age() (age time.Duration, ok bool) {
	heard := f.heard.Load()
	if heard == 0 {
		return 0, false
	}
	return f.options.Now().Sub(time.Unix(0, heard)), true
}

// Staleness is how long ago the store is known to have had nothing newer than the
// view; ok is false where that was never known.
func (f *Follower) Staleness() (staleness time.Duration, ok bool) {
	proved := f.Proved()
	if proved.IsZero() {
		return 0, false
	}
	return f.options.Now().Sub(proved), true
}

// Proved is the newest moment before which the store is known to have had nothing
// newer than the view; zero for none.
func (f *Follower) Proved() time.Time {
	if proved := f.proved.Load(); proved != nil {
		return *proved
	}
	return time.Time{}
}

// prove notes such a moment. It is called once the view has been applied: whoever
// sees the moment sees at least what was there then.
func (f *Follower) prove(moment time.Time) {
	if !moment.IsZero() && moment.After(f.Proved()) {
		f.proved.Store(&moment)
	}
}

// Serve follows the objects until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	pause := f.options.Settings.MinPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			pause = f.options.Settings.MinPause
			continue
		}
		f.failed(err)
		if sleep.For(ctx, sleep.Jitter(pause)) != nil {
			break
		}
		pause = min(2*pause, f.options.Settings.MaxPause)
	}
	return ctx.Err()
}

// step makes one call to the store.
func (f *Follower) step(ctx context.Context) error {
	if f.relist {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) list(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, f.options.Settings.ListTimeout)
	defer cancel()
	snapshot, err := f.options.Source.List(bounded)
	if err != nil {
		return err
	}
	f.heardAt(f.options.Now().Add(-snapshot.Age))
	f.logUnreadable(snapshot.Unreadable, snapshot.At)
	if !f.take(snapshot) {
		f.options.Logger.Warn("old listing refused", zap.String("objects", f.options.Name),
			zap.Int64("revision", snapshot.At), zap.Int64("known_revision", f.revision()))
		return errors.New("the listing is older than what is known")
	}
	f.prove(snapshot.Proved)
	f.relist = false
	f.options.Logger.Info("objects listed", zap.String("objects", f.options.Name),
		zap.Int64("revision", snapshot.At), zap.Int("count", len(snapshot.Objects)))
	return nil
}

// take replaces the view and applies it, unless the snapshot is older.
func (f *Follower) take(snapshot Snapshot) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.view.replace(snapshot) {
		return false
	}
	f.options.Apply(f.view.snapshot())
	return true
}

// Offer takes in a snapshot that another node had from the store, if it is newer
// than what is known, and tells whether it did. It says nothing about whether the
// store has changed since.
func (f *Follower) Offer(snapshot Snapshot) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.view.known && snapshot.At <= f.view.at {
		return false
	}
	f.view.replace(snapshot)
	f.options.Apply(f.view.snapshot())
	return true
}

// IsLost tells that the last call to the store failed.
func (f *Follower) IsLost() bool { return f.lost.Load() }

// IsKnown tells that any snapshot was taken in.
func (f *Follower) IsKnown() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.known
}

// revision is that of the view.
func (f *Follower) revision() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.at
}

func (f *Follower) watch(ctx context.Context) error {
	settings := f.options.Settings
	bounded, cancel := context.WithTimeout(ctx, settings.WatchWait+settings.WatchSlack)
	defer cancel()
	changes, err := f.options.Source.Watch(bounded, f.revision(), settings.WatchWait)
	if errors.Is(err, ErrHistoryGone) {
		f.options.Logger.Info("change history gone, listing again", zap.String("objects", f.options.Name), zap.Int64("revision", f.revision()))
		f.relist = true
		return nil
	}
	if err != nil {
		return err
	}
	f.heardAt(f.options.Now().Add(-changes.Age))
	f.logUnreadable(changes.Unreadable, changes.At)
	isNew := f.change(changes)
	f.prove(changes.Proved)
	if isNew {
		_ = sleep.For(ctx, settings.Gather)
	}
	return nil
}

// change takes changes in and tells whether they were any.
func (f *Follower) change(changes Changes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.view.change(changes) {
		return false
	}
	f.options.Apply(f.view.snapshot())
	return true
}

// failed notes that a call failed. A lost answer may have held changes, so the
// next call is a listing. Where nobody was asked it isn't: another node refuses to be
// listed from while its revision is older than the known one, which it often is though
// it lacks nothing, since the store's revision rises with every kind. A node that had
// asked the store itself once would then ask it for good: 2,816 calls of 295 nodes on a
// quiet day of 48 s instead of 316, with the failures of one moment counted apart.
func (f *Follower) failed(err error) {
	f.relist = f.relist || !errors.Is(err, ErrNobodyAsked)
	if f.lost.Swap(true) {
		return
	}
	f.options.Logger.Warn("store lost", zap.String("objects", f.options.Name),
		zap.Int64("revision", f.revision()), zap.Error(err))
	if f.options.Lost != nil {
		f.options.Lost()
	}
}

// logUnreadable tells of objects that are passed over, whatever they would say.
func (f *Follower) logUnreadable(count int, at int64) {
	if count > 0 {
		f.options.Logger.Warn("objects without a name passed over", zap.String("objects", f.options.Name),
			zap.Int64("revision", at), zap.Int("count", count))
	}
}

// heardAt notes that the store said something then.
func (f *Follower) heardAt(moment time.Time) {
	f.heard.Store(max(f.heard.Load(), moment.UnixNano()))
	if !f.lost.Swap(false) {
		return
	}
	f.options.Logger.Info("store regained", zap.String("objects", f.options.Name), zap.Int64("revision", f.revision()))
}
