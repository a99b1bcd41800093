package quarantine

import (
	"context"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// followerTimeout is how long after the answer to its last call a follower is waited
	// for. Those that run call again at once.
	followerTimeout = time.Second
	// followerPause is how long further changes are waited for before followers are told.
	followerPause = 3 * time.Millisecond
	// tellInterval is how long after a change that isn't urgent followers are told at the
	// latest, lazyTellInterval the same for a request of which they needn't know yet.
	tellInterval     = 100 * time.Millisecond
	lazyTellInterval = time.Second
	// toldRetention is how long an entry is kept after a change, so that followers are told.
	toldRetention = 2 * lazyTellInterval
	// followerPollInterval is the pause between two looks at what followers have.
	followerPollInterval = time.Millisecond
)

// position is the last change that a follower has.
type position struct {
	change uint64
	// told is when its last call was answered; zero while one waits.
	told time.Time
}

// Watch returns the changes after the cursor. It waits for some until the wait is over or
// the context ends. The call tells that the follower has all before the cursor.
func (t *Table) Watch(ctx context.Context, follower FollowerID, from Cursor, wait time.Duration) Changes {
	t.noteWaiting(follower, from)
	changes := t.awaitChanges(ctx, from, wait)
	t.noteTold(ctx, follower)
	return changes
}

func (t *Table) awaitChanges(ctx context.Context, from Cursor, wait time.Duration) Changes {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes, changed := t.changesSince(from)
		if changes.IsFull || len(changes.Records) > 0 {
			return changes
		}
		select {
		case <-changed:
			// An instance that ends changes the records of all requests on it.
			_ = sleep.For(ctx, followerPause)
		case <-deadline.C:
			return changes
		case <-ctx.Done():
			return changes
		}
	}
}

func (t *Table) noteWaiting(follower FollowerID, from Cursor) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	has := uint64(0)
	if from.Table == t.id {
		has = from.Change
	}
	t.followers[follower] = position{change: has}
}

// noteTold notes that the call of the follower ends. One whose connection is lost isn't
// waited for.
func (t *Table) noteTold(ctx context.Context, follower FollowerID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if ctx.Err() != nil {
		delete(t.followers, follower)
		t.endSendsOf(follower)
		return
	}
	t.followers[follower] = position{change: t.followers[follower].change, told: t.now()}
}

// endSendsOf ends the exchanges of a gateway whose connection is lost: it has likely ended. The
// mutex must be held.
func (t *Table) endSendsOf(gateway FollowerID) {
	for _, known := range t.entries {
		if known.pending.endThoseOf(gateway, t.now()) {
			t.noteChange(known)
		}
	}
}

// AwaitFollowers waits until all followers know that the request is suspected, if they have to
// know at once, or until the context ends. It returns whether they do.
func (t *Table) AwaitFollowers(ctx context.Context, fingerprint Fingerprint) bool {
	urgent := t.urgentChange(fingerprint)
	for t.isAnyBehind(urgent) {
		if sleep.For(ctx, followerPollInterval) != nil {
			return false
		}
	}
	return true
}

func (t *Table) urgentChange(fingerprint Fingerprint) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[fingerprint]; known != nil {
		return known.urgent
	}
	return 0
}

func (t *Table) isAnyBehind(change uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for follower, has := range t.followers {
		switch {
		case !has.told.IsZero() && t.now().Sub(has.told) >= followerTimeout:
			delete(t.followers, follower)
		case has.change < change:
			return true
		}
	}
	return false
}

// changesSince returns the changes after the cursor, and a channel that is closed with the
// next one.
func (t *Table) changesSince(from Cursor) (Changes, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	t.sweep(now)
	changes := Changes{IsFull: from.Table != t.id, Next: Cursor{Table: t.id, Change: t.change}}
	for fingerprint, known := range t.entries {
		if changes.IsFull || known.change > from.Change {
			changes.Records = append(changes.Records, known.record(fingerprint, now))
		}
	}
	return changes, t.changed
}

// noteChange numbers the change of the entry and tells followers, at once if they have to know
// of the request from now on. Those that know of it ask before they send it, so that further
// changes of the entry aren't urgent. The mutex must be held.
func (t *Table) noteChange(changed *entry) {
	t.change++
	changed.change, changed.changedAt = t.change, t.now()
	switch {
	case !changed.isUrgent():
		changed.urgent = 0
		t.tellWithin(lazyTellInterval)
	case changed.urgent == 0:
		changed.urgent = t.change
		t.wakeFollowers()
	default:
		t.tellWithin(tellInterval)
	}
}

// tellWithin has followers told of the changes so far within the interval. The mutex must be
// held.
func (t *Table) tellWithin(interval time.Duration) {
	at := t.now().Add(interval)
	if !t.tellAt.IsZero() && !at.Before(t.tellAt) {
		return
	}
	t.tellAt = at
	time.AfterFunc(interval, func() { t.tellFollowers(at) })
}

// wakeFollowers wakes the waiting calls. The mutex must be held.
func (t *Table) wakeFollowers() {
	t.tellAt = time.Time{}
	close(t.changed)
	t.changed = make(chan struct{})
}

// tellFollowers tells followers of the changes for which it was to do so at the time.
func (t *Table) tellFollowers(at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.tellAt.Equal(at) {
		t.wakeFollowers()
	}
}
