package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/follow"
)

const (
	// maxRemovals is how many removed objects of a kind are remembered, and maxSteps how
	// many revisions of its snapshots (chosen, not measured). Whoever asks for changes
	// since an earlier revision is told all that there is.
	maxRemovals = 512
	maxSteps    = 1024
)

// removal is an object that was gone at a revision.
type removal struct {
	name string
	// at is the revision of the first snapshot without the object.
	at int64
}

// Answer is what a holder says about changes: one of the types below.
type Answer interface{ isAnswer() }

// Current is what changed.
type Current struct {
	Changes follow.Changes
}

// Lost says that the holder itself doesn't hear from the store.
type Lost struct{}

// Missed says that the holder doesn't follow the kind.
type Missed struct{}

func (Current) isAnswer() {}
func (Lost) isAnswer()    {}
func (Missed) isAnswer()  {}

// Upstream is the holder's own way to the store. follow.Follower is one.
type Upstream interface {
	// Age is how long ago the store last answered; ok is false before it first did.
	Age() (age time.Duration, ok bool)
	// Proved is the newest moment before which the store is known to have had
	// nothing newer than what was kept; zero for none.
	Proved() time.Time
	// IsLost tells that the last call failed.
	IsLost() bool
}

// kindState is what a holder has of one kind. The holder's mutex guards it.
type kindState struct {
	kept Copy
	// removals are in the order of their revisions.
	removals []removal
	// steps are the revisions of the snapshots that were taken in, oldest first. What was
	// made and removed between two of them was never seen here, so that only whoever is at
	// one of them can be told what changed since; others are told all that there is.
	steps []int64
	// upstream is the way by which the holder hears of the kind; nil before Through.
	upstream Upstream
	// changed is closed when anything of it changes.
	changed chan struct{}
}

func newKindState(kind string) *kindState {
	return &kindState{kept: Copy{Kind: kind}, changed: make(chan struct{})}
}

// wake has those look again who wait for a change.
func (s *kindState) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// replace takes a newer snapshot in and remembers which objects are gone.
func (s *kindState) replace(snapshot follow.Snapshot, heard time.Time) {
	if !s.kept.Heard.IsZero() {
		// A copy of an earlier life isn't a step: nobody is told what changed since, so that
		// what it has and the snapshot lacks needn't be known.
		s.rememberRemovals(snapshot)
	}
	if len(s.steps) == 0 || s.steps[len(s.steps)-1] < snapshot.At {
		s.steps = append(s.steps, snapshot.At)
	}
	s.forget()
	s.kept.Snapshot, s.kept.Heard = snapshot, heard
	s.wake()
}

// rememberRemovals notes the known objects that the next snapshot lacks.
func (s *kindState) rememberRemovals(next follow.Snapshot) {
	names := make(map[string]bool, len(next.Objects))
	for _, object := range next.Objects {
		names[object.Name] = true
	}
	for _, object := range s.kept.Snapshot.Objects {
		if !names[object.Name] {
			s.removals = append(s.removals, removal{name: object.Name, at: next.At})
		}
	}
}

// forget drops the oldest removals and steps beyond the bounds. Steps before a dropped
// removal go with it: whoever is at a step that is left needs no removal that was dropped.
func (s *kindState) forget() {
	if excess := len(s.removals) - maxRemovals; excess > 0 {
		dropped := s.removals[excess-1].at
		s.removals = slices.Clone(s.removals[excess:])
		s.steps = slices.DeleteFunc(s.steps, func(step int64) bool { return step < dropped })
	}
	if excess := len(s.steps) - maxSteps; excess > 0 {
		s.steps = slices.Clone(s.steps[excess:])
	}
}

// knowsFrom tells that all that changed after the revision is known.
func (s *kindState) knowsFrom(revision int64) bool {
	_, isStep := slices.BinarySearch(s.steps, revision)
	return isStep || revision >= s.kept.Snapshot.At
}

// changesSince returns what changed after the revision, or all that there is where that
// isn't known.
func (s *kindState) changesSince(revision int64) follow.Changes {
	if !s.knowsFrom(revision) {
		return s.kept.Snapshot.Changes()
	}
	changes := follow.Changes{At: max(revision, s.kept.Snapshot.At)}
	for _, object := range s.kept.Snapshot.Objects {
		if object.Revision > revision {
			changes.Events = append(changes.Events, follow.Event{Object: object})
		}
	}
	for _, removed := range s.removals {
		if removed.at > revision {
			gone := follow.Object{Name: removed.name, Revision: removed.at}
			changes.Events = append(changes.Events, follow.Event{Object: gone, Gone: true})
		}
	}
	return changes
}

// answer says what there is to say now about changes since the revision; done is false
// where nothing has changed, so that it may be waited for.
func (s *kindState) answer(revision int64) (said Answer, done bool) {
	if s.upstream == nil || s.upstream.IsLost() {
		return Lost{}, true
	}
	age, heard := s.upstream.Age()
	if !heard {
		return Lost{}, true
	}
	// The moment is read before the changes: what is told is at least as new.
	proved := s.upstream.Proved()
	changes := s.changesSince(revision)
	changes.Age, changes.Proved = age, proved
	return Current{Changes: changes}, changes.IsWhole || len(changes.Events) > 0
}

// Watch answers as soon as there is a change of the kind after the revision, or this
// holder loses the store. After the wait it answers that nothing changed.
func (h *Holder) Watch(ctx context.Context, kind string, revision int64, wait time.Duration) Answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		h.mutex.Lock()
		found := h.states[kind]
		if found == nil {
			h.mutex.Unlock()
			return Missed{}
		}
		said, done := found.answer(revision)
		changed := found.changed
		h.mutex.Unlock()
		if done || over {
			return said
		}
		select {
		case <-changed:
		case <-timer.C:
			// Nothing has changed, but what is known of that may be newer.
			over = true
		case <-ctx.Done():
			return said
		}
	}
}

// Through sets the way by which the holder hears of the kind.
func (h *Holder) Through(kind string, upstream Upstream) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state(kind).upstream = upstream
}

// Lost has those answered that wait for a change of the kind, since the store is lost.
func (h *Holder) Lost(kind string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state(kind).wake()
}
