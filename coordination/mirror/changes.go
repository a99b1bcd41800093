package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/follow"
)

const (
	// maxRemovals and maxRevisions bound the history of a kind: the removed objects and the
	// revisions of its snapshots. Callers at a revision that has been dropped are sent the
	// whole snapshot.
	maxRemovals  = 512
	maxRevisions = 1024
)

// removal records an object that was removed.
type removal struct {
	name string
	// revision is that of the first snapshot without the object.
	revision int64
}

// WatchAnswer is a holder's answer to a watch call: Changed, StoreLost or NotFollowed.
type WatchAnswer interface{ isAnswer() }

// Changed carries the changes since the revision that was asked for.
type Changed struct {
	Changes follow.Changes
}

// StoreLost means that the holder has no contact with the store.
type StoreLost struct{}

// NotFollowed means that the holder doesn't follow the kind.
type NotFollowed struct{}

func (Changed) isAnswer()     {}
func (StoreLost) isAnswer()   {}
func (NotFollowed) isAnswer() {}

// Upstream is the state of the follower that feeds the holder. follow.Follower implements
// it.
type Upstream interface {
	// Age returns the time since the store last answered; ok is false before its first
	// answer.
	Age() (age time.Duration, ok bool)
	// FreshAt returns the latest time at which the store is known to have had nothing newer
	// than the kept snapshot; zero for none.
	FreshAt() time.Time
	// IsLost reports whether the last call failed.
	IsLost() bool
}

// kindState is a holder's snapshot and recent history of one kind. The holder's mutex
// guards it.
type kindState struct {
	latest Copy
	// removals are ordered by revision.
	removals []removal
	// revisions are those of the received snapshots, oldest first. Objects that were created
	// and removed between two of them were never seen here, so only callers at one of these
	// revisions can be sent changes; others are sent the whole snapshot.
	revisions []int64
	// upstream feeds the kind; nil before SetUpstream.
	upstream Upstream
	// changed is closed, and replaced, when the state changes.
	changed chan struct{}
}

func newKindState(kind string) *kindState {
	return &kindState{latest: Copy{Kind: kind}, changed: make(chan struct{})}
}

// notify wakes the callers that wait for a change.
func (s *kindState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// update replaces the snapshot by a newer one and records which objects were removed.
func (s *kindState) update(snapshot follow.Snapshot, receivedAt time.Time) {
	if !s.latest.ReceivedAt.IsZero() {
		// The revision of a copy loaded from disk isn't in revisions: no caller is sent the
		// changes since then, so removals since then needn't be known.
		s.recordRemovals(snapshot)
	}
	if len(s.revisions) == 0 || s.revisions[len(s.revisions)-1] < snapshot.At {
		s.revisions = append(s.revisions, snapshot.At)
	}
	s.trimHistory()
	s.latest.Snapshot, s.latest.ReceivedAt = snapshot, receivedAt
	s.notify()
}

// recordRemovals records the objects of the latest snapshot that the next one lacks.
func (s *kindState) recordRemovals(next follow.Snapshot) {
	names := make(map[string]bool, len(next.Objects))
	for _, object := range next.Objects {
		names[object.Name] = true
	}
	for _, object := range s.latest.Snapshot.Objects {
		if !names[object.Name] {
			s.removals = append(s.removals, removal{name: object.Name, revision: next.At})
		}
	}
}

// trimHistory drops the oldest removals and revisions beyond the bounds. Revisions before a
// dropped removal are dropped with it, so that the changes since each remaining revision are
// complete.
func (s *kindState) trimHistory() {
	if excess := len(s.removals) - maxRemovals; excess > 0 {
		lastDropped := s.removals[excess-1].revision
		s.removals = slices.Clone(s.removals[excess:])
		s.revisions = slices.DeleteFunc(s.revisions, func(revision int64) bool { return revision < lastDropped })
	}
	if excess := len(s.revisions) - maxRevisions; excess > 0 {
		s.revisions = slices.Clone(s.revisions[excess:])
	}
}

// hasChangesSince reports whether all changes after the revision are known.
func (s *kindState) hasChangesSince(revision int64) bool {
	_, isRecorded := slices.BinarySearch(s.revisions, revision)
	return isRecorded || revision >= s.latest.Snapshot.At
}

// changesSince returns the changes after the revision, or the whole snapshot if they aren't
// known.
func (s *kindState) changesSince(revision int64) follow.Changes {
	if !s.hasChangesSince(revision) {
		return s.latest.Snapshot.Changes()
	}
	changes := follow.Changes{At: max(revision, s.latest.Snapshot.At)}
	for _, object := range s.latest.Snapshot.Objects {
		if object.Revision > revision {
			changes.Events = append(changes.Events, follow.Event{Object: object})
		}
	}
	for _, removed := range s.removals {
		if removed.revision > revision {
			object := follow.Object{Name: removed.name, Revision: removed.revision}
			changes.Events = append(changes.Events, follow.Event{Object: object, Deleted: true})
		}
	}
	return changes
}

// currentAnswer returns the present answer to a call that watches from the revision; done is
// false if nothing has changed, so that the call may wait.
func (s *kindState) currentAnswer(revision int64) (answer WatchAnswer, done bool) {
	if s.upstream == nil || s.upstream.IsLost() {
		return StoreLost{}, true
	}
	age, heard := s.upstream.Age()
	if !heard {
		return StoreLost{}, true
	}
	// The time is read before the changes, so that these are at least as new.
	proved := s.upstream.FreshAt()
	changes := s.changesSince(revision)
	changes.Age, changes.FreshAt = age, proved
	return Changed{Changes: changes}, changes.IsFull || len(changes.Events) > 0
}

// Watch returns as soon as the kind has changed after the revision or this holder has lost
// the store. After the wait it returns an answer without changes.
func (h *Holder) Watch(ctx context.Context, kind string, revision int64, wait time.Duration) WatchAnswer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		h.mutex.Lock()
		state := h.states[kind]
		if state == nil {
			h.mutex.Unlock()
			return NotFollowed{}
		}
		answer, done := state.currentAnswer(revision)
		changed := state.changed
		h.mutex.Unlock()
		if done || timedOut {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			// Answer anew: the age and the proof may have advanced without a change.
			timedOut = true
		case <-ctx.Done():
			return answer
		}
	}
}

// SetUpstream sets the upstream that feeds the kind.
func (h *Holder) SetUpstream(kind string, upstream Upstream) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state(kind).upstream = upstream
}

// NotifyLost wakes the calls that watch the kind, so that they report the lost store.
func (h *Holder) NotifyLost(kind string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state(kind).notify()
}
