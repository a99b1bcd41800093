package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

const (
	// maxEntries bounds the memory of a table to about 3 MB.
	maxEntries = 10_000
	// sweepInterval is the shortest pause between two searches for expired entries.
	sweepInterval = time.Second
	// followerTimeout is how long after the answer to its last call a follower is waited
	// for. Those that run call again at once.
	followerTimeout = time.Second
	// followerPollInterval is the pause between two looks at what followers have.
	followerPollInterval = time.Millisecond
)

// Table counts the crashes under requests at a storage node. It is safe for concurrent use.
type Table struct {
	id  uint64
	now func() time.Time
	// onQuarantined is called for each request that isn't sent any more, with the
	// instances that have crashed under it.
	onQuarantined func(fingerprint Fingerprint, instances []string)

	mutex   sync.Mutex
	entries map[Fingerprint]*entry
	// change is the number of the last change of an entry.
	change  uint64
	sweptAt time.Time
	// changed is closed with the next change.
	changed chan struct{}
	// followers maps those whose call waits, or was answered lately, to what they have.
	followers map[FollowerID]position
}

// position is the last change that a follower has.
type position struct {
	change uint64
	// told is when its last call was answered; zero while one waits.
	told time.Time
}

// entry is a request with the ends of instances under it. It has none once a try was
// completed.
type entry struct {
	ends []end
	// crashes is the number of instances in the longest row.
	crashes int
	expires time.Time
	change  uint64
}

// NewTable returns an empty table with an id that no earlier table of the node had.
func NewTable(id uint64, now func() time.Time, onQuarantined func(fingerprint Fingerprint, instances []string)) *Table {
	return &Table{id: id, now: now, onQuarantined: onQuarantined, entries: make(map[Fingerprint]*entry), changed: make(chan struct{}), followers: make(map[FollowerID]position)}
}

// Report counts a crash, see longestRow. One that is known already isn't counted again.
func (t *Table) Report(crash Crash) Record {
	t.mutex.Lock()
	record, isNowQuarantined := t.count(crash)
	var instances []string
	if isNowQuarantined {
		instances = instancesOf(t.entries[crash.Fingerprint].ends)
	}
	t.mutex.Unlock()
	if isNowQuarantined {
		t.onQuarantined(crash.Fingerprint, instances)
	}
	return record
}

// count returns the record after the crash, and whether the crash has quarantined the request.
// The mutex must be held.
func (t *Table) count(crash Crash) (record Record, isNowQuarantined bool) {
	now := t.now()
	t.sweep(now)
	known := t.entries[crash.Fingerprint]
	if known == nil || !now.Before(known.expires) {
		t.makeRoom()
		known = &entry{}
		t.entries[crash.Fingerprint] = known
	}
	if slices.ContainsFunc(known.ends, func(e end) bool { return e.instance == crash.Instance }) {
		return known.record(crash.Fingerprint, now), false
	}
	known.ends = append(makeRoomFor(known.ends), end{instance: crash.Instance, sent: now.Add(-crash.SentAgo), ended: now.Add(-crash.EndedAgo)})
	before := known.crashes
	known.crashes = max(before, len(longestRow(known.ends)), crash.Row)
	known.expires = now.Add(lifetime(known.crashes))
	t.noteChange(known)
	return known.record(crash.Fingerprint, now), IsQuarantined(known.crashes) && !IsQuarantined(before)
}

// Clear forgets the crashes under a request of which a try was completed.
func (t *Table) Clear(fingerprint Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[fingerprint]; known != nil && known.crashes > 0 {
		t.clear(known)
	}
}

// ClearAll forgets all crashes, and returns the number of requests.
func (t *Table) ClearAll() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cleared := 0
	for _, known := range t.entries {
		if known.crashes > 0 {
			t.clear(known)
			cleared++
		}
	}
	return cleared
}

// clear forgets the crashes of the entry. The mutex must be held.
func (t *Table) clear(known *entry) {
	known.ends, known.crashes = nil, 0
	t.noteChange(known)
}

// Find returns the record of the request, or one without crashes.
func (t *Table) Find(fingerprint Fingerprint) Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if known := t.entries[fingerprint]; known != nil && now.Before(known.expires) {
		return known.record(fingerprint, now)
	}
	return Record{Fingerprint: fingerprint}
}

// Records returns all records with crashes, those with the most first.
func (t *Table) Records() []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var records []Record
	for fingerprint, known := range t.entries {
		if known.crashes > 0 && t.now().Before(known.expires) {
			records = append(records, known.record(fingerprint, t.now()))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return b.Crashes - a.Crashes })
	return records
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
		return
	}
	t.followers[follower] = position{change: t.followers[follower].change, told: t.now()}
}

// AwaitFollowers waits until all followers have the changes made so far, or until the context
// ends, and returns whether they have.
func (t *Table) AwaitFollowers(ctx context.Context) bool {
	t.mutex.Lock()
	last := t.change
	t.mutex.Unlock()
	for t.isAnyBehind(last) {
		if sleep.For(ctx, followerPollInterval) != nil {
			return false
		}
	}
	return true
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

func (e *entry) record(fingerprint Fingerprint, now time.Time) Record {
	return Record{Fingerprint: fingerprint, Crashes: e.crashes, Remaining: max(e.expires.Sub(now), 0)}
}

// noteChange numbers the change of the entry and wakes the waiting calls. The mutex must be
// held.
func (t *Table) noteChange(changed *entry) {
	t.change++
	changed.change = t.change
	close(t.changed)
	t.changed = make(chan struct{})
}

// makeRoom drops the entry that expires first if the table is full. The mutex must be held.
func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var first Fingerprint
	var expires time.Time
	for fingerprint, known := range t.entries {
		if expires.IsZero() || known.expires.Before(expires) {
			first, expires = fingerprint, known.expires
		}
	}
	delete(t.entries, first)
}

// sweep drops the expired entries, once a sweepInterval. The mutex must be held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for fingerprint, known := range t.entries {
		if !now.Before(known.expires) {
			delete(t.entries, fingerprint)
		}
	}
}
