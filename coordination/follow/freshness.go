package follow

import (
	"time"

	"go.uber.org/zap"
)

// Age returns the time since the store last answered, directly or through another node,
// by wall-clock time; ok is false before the first answer.
func (f *Follower) Age() (age time.Duration, ok bool) {
	answered := f.lastAnswer.Load()
	if answered == 0 {
		return 0, false
	}
	return f.options.Now().Sub(time.Unix(0, answered)), true
}

// Staleness returns the time since the view was last proven to be current, by this node's
// monotonic clock; ok is false if it never was.
func (f *Follower) Staleness() (staleness time.Duration, ok bool) {
	proved := f.Proved()
	if proved.IsZero() {
		return 0, false
	}
	return f.options.Now().Sub(proved), true
}

// Proved returns the latest time before which the store is known to have had nothing
// newer than the view; zero if there is none.
func (f *Follower) Proved() time.Time {
	if proved := f.provedAt.Load(); proved != nil {
		return *proved
	}
	return time.Time{}
}

// recordProof notes a moment of that kind. It is called once the view has been applied: whoever
// sees the moment sees at least what was there then.
func (f *Follower) recordProof(moment time.Time) {
	if !moment.IsZero() && moment.After(f.Proved()) {
		f.provedAt.Store(&moment)
	}
}

// recordAnswer notes the moment at which the store last said something, and that it answers.
func (f *Follower) recordAnswer(moment time.Time) {
	f.lastAnswer.Store(max(f.lastAnswer.Load(), moment.UnixNano()))
	if !f.lost.Swap(false) {
		return
	}
	f.options.Logger.Info("store regained", zap.String("objects", f.options.Name), zap.Int64("revision", f.revision()))
}
