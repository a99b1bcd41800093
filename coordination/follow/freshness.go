package follow

import (
	"time"

	"go.uber.org/zap"
)

// Age returns the time since the store last answered, directly or through another node,
// by wall-clock time; ok is false before the first answer. The answer may hold changes that
// aren't applied yet.
func (f *Follower) Age() (age time.Duration, ok bool) { return f.since(f.lastAnswer.Load()) }

// ViewAge returns the time since the store last confirmed the view that is applied, as Age
// does.
func (f *Follower) ViewAge() (age time.Duration, ok bool) { return f.since(f.confirmedAt.Load()) }

// since returns the time since a moment in nanoseconds since the Unix epoch; ok is false for
// zero.
func (f *Follower) since(moment int64) (age time.Duration, ok bool) {
	if moment == 0 {
		return 0, false
	}
	return f.options.Now().Sub(time.Unix(0, moment)), true
}

// Staleness returns the time since the view was last proven to be current, by this node's
// monotonic clock; ok is false if it never was.
func (f *Follower) Staleness() (staleness time.Duration, ok bool) {
	proved := f.FreshAt()
	if proved.IsZero() {
		return 0, false
	}
	return f.options.Now().Sub(proved), true
}

// FreshAt returns the latest time before which the store is known to have had nothing
// newer than the view; zero if there is none.
func (f *Follower) FreshAt() time.Time {
	if proved := f.provedAt.Load(); proved != nil {
		return *proved
	}
	return time.Time{}
}

// recordProof advances the time that FreshAt returns. It must be called after the view was
// applied, so that a caller that sees the time also sees the state as of then.
func (f *Follower) recordProof(at time.Time) {
	if !at.IsZero() && at.After(f.FreshAt()) {
		f.provedAt.Store(&at)
	}
}

// recordConfirmation advances the time from which ViewAge counts. It must be called after the
// answer of that time was applied.
func (f *Follower) recordConfirmation(at time.Time) {
	f.confirmedAt.Store(max(f.confirmedAt.Load(), at.UnixNano()))
}

// recordAnswer records that the store answered at the given time, and so is available.
func (f *Follower) recordAnswer(at time.Time) {
	f.lastAnswer.Store(max(f.lastAnswer.Load(), at.UnixNano()))
	if !f.lost.Swap(false) {
		return
	}
	f.options.Logger.Info("store regained", zap.String("objects", f.options.Name), zap.Int64("revision", f.revision()))
}
