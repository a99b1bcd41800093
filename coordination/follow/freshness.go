package follow

import (
	"time"

	"go.uber.org/zap"
)

// Age is how long ago the store last answered, itself or through another node, by the
// time of day; ok is false before the first answer.
func (f *Follower) Age() (age time.Duration, ok bool) {
	heard := f.lastAnswer.Load()
	if heard == 0 {
		return 0, false
	}
	return f.options.Now().Sub(time.Unix(0, heard)), true
}

// Staleness is how long ago the store is known to have had nothing newer than the view,
// by this node's steady clock; ok is false where that was never known.
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
