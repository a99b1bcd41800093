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

// Table counts the crashes under requests, and the sends without an outcome, at a storage
// node. It is safe for concurrent use.
type Table struct {
	id  uint64
	now func() time.Time
	// onQuarantined is called for each request that isn't sent any more, with the
	// instances that have crashed under it.
	onQuarantined func(fingerprint Fingerprint, instances []string)

	mutex   sync.Mutex
	entries map[Fingerprint]*entry
	// change is the number of the last change of an entry.
	change uint64
	// tellAt is when followers will be told of changes that aren't urgent; zero if there are none.
	tellAt  time.Time
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

// entry is a request with the ends of instances under it and the sends without an outcome. It
// has none once a try was completed.
type entry struct {
	ends []end
	// crashes is the number of instances in the longest row.
	crashes int
	pending pendingSends
	// isResolved is set if there was no completed try since the last send was pending.
	isResolved bool
	// clearedAt is when a try was last completed; zero for never.
	clearedAt time.Time
	// expires is when the ends are forgotten.
	expires time.Time
	// change is the number of the entry's last change, made at changedAt.
	change    uint64
	changedAt time.Time
	// urgent is the number of the change with which followers had to know of the request at
	// once; zero while they needn't.
	urgent uint64
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
	known := t.entryOf(crash.Fingerprint, now)
	added := end{send: crash.Send, instance: crash.Instance, sent: now.Add(-crash.SentAgo), ended: now.Add(-crash.EndedAgo)}
	added.seen = added.ended.Add(crash.SeenAfter)
	// A gateway that hasn't heard of a completed try yet may report earlier crashes again.
	isForgotten := crash.Row > 0 && added.ended.Before(known.clearedAt)
	if isForgotten || slices.ContainsFunc(known.ends, added.isSame) {
		return known.answer(crash.Fingerprint, now), false
	}
	known.forgetExpired(now)
	known.pending = known.pending.without(added.isSame)
	known.pending.extendThoseBefore(added, now.Add(suspectLifetime))
	known.ends = append(makeRoomFor(known.ends), added)
	before := known.crashes
	known.crashes = max(before, len(longestRow(known.ends)), crash.Row)
	known.isResolved = false
	known.expires = now.Add(lifetime(known.crashes))
	t.noteChange(known)
	return known.answer(crash.Fingerprint, now), IsQuarantined(known.crashes) && !IsQuarantined(before)
}

// entryOf returns the entry of the request, a new one if there is none. The mutex must be held.
func (t *Table) entryOf(fingerprint Fingerprint, now time.Time) *entry {
	known := t.entries[fingerprint]
	if known == nil || !known.isKept(now) {
		t.makeRoom()
		known = &entry{}
		t.entries[fingerprint] = known
	}
	return known
}

// NoteSend notes a send, or that its exchange has ended without an outcome. It returns what is
// known without it and with it. One under which the instance is known to have ended isn't
// noted.
func (t *Table) NoteSend(send Send) (before, after Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	t.sweep(now)
	known := t.entryOf(send.Fingerprint, now)
	known.forgetExpired(now)
	noted := newPendingSend(send, now)
	known.pending = known.pending.without(noted.isSame)
	before = known.answer(send.Fingerprint, now)
	if slices.ContainsFunc(known.ends, noted.isSame) {
		return before, before
	}
	known.pending = known.pending.with(noted)
	known.isResolved = false
	t.noteChange(known)
	return before, known.answer(send.Fingerprint, now)
}

// DropSend forgets a send, since its instance still runs.
func (t *Table) DropSend(fingerprint Fingerprint, id SendID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[fingerprint]
	if known == nil {
		return
	}
	left := known.pending.without(func(e end) bool { return e.send == id })
	if len(left) == len(known.pending) {
		return
	}
	known.pending = left
	known.isResolved = known.crashes == 0
	t.noteChange(known)
}

// Clear forgets the crashes and sends of a request of which a try was completed.
func (t *Table) Clear(fingerprint Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[fingerprint]; known != nil && known.isSuspected() {
		t.clear(known)
	}
}

// ClearAll forgets all crashes, and returns the number of requests.
func (t *Table) ClearAll() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	cleared := 0
	for _, known := range t.entries {
		if known.isSuspected() {
			t.clear(known)
			cleared++
		}
	}
	return cleared
}

// clear forgets the crashes of the entry. The mutex must be held.
func (t *Table) clear(known *entry) {
	known.ends, known.crashes, known.pending, known.isResolved = nil, 0, nil, false
	known.clearedAt = t.now()
	t.noteChange(known)
}

// Find returns the record of the request, or one without crashes.
func (t *Table) Find(fingerprint Fingerprint) Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if known := t.entries[fingerprint]; known != nil && known.isKept(now) {
		return known.answer(fingerprint, now)
	}
	return Record{Fingerprint: fingerprint, IsResolved: true}
}

// Records returns all records with crashes or sends, those with the most crashes first.
func (t *Table) Records() []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var records []Record
	now := t.now()
	for fingerprint, known := range t.entries {
		if record := known.record(fingerprint, now); record.Suspected > 0 {
			records = append(records, record)
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

// record returns the record of the entry. Crashes count until they expire, sends until then
// each.
func (e *entry) record(fingerprint Fingerprint, now time.Time) Record {
	record := Record{Fingerprint: fingerprint, IsResolved: e.isResolved}
	pending := e.pending.unexpired(now)
	if now.Before(e.expires) {
		record.Crashes = e.crashes
		record.Remaining = e.expires.Sub(now)
	}
	record.Suspected = e.suspected(record.Crashes, pending)
	record.Remaining = max(record.Remaining, pending.remaining(now))
	return record
}

// answer returns the record of the entry with the tries that count, so that a gateway can count
// those together that different nodes know of.
func (e *entry) answer(fingerprint Fingerprint, now time.Time) Record {
	record := e.record(fingerprint, now)
	if now.Before(e.expires) {
		record.Tries = appendTries(record.Tries, e.ends, true, now)
	}
	record.Tries = appendTries(record.Tries, e.pending.unexpired(now).ends(), false, now)
	if !e.clearedAt.IsZero() {
		record.ClearedAgo = now.Sub(e.clearedAt)
	}
	return record
}

func appendTries(tries []Try, ends []end, isCrash bool, now time.Time) []Try {
	for _, each := range ends {
		tries = append(tries, Try{
			Send: each.send, Instance: each.instance, SentAgo: now.Sub(each.sent), EndedAgo: now.Sub(each.ended),
			SeenAfter: each.seen.Sub(each.ended), IsCrash: isCrash,
		})
	}
	return tries
}

// suspected returns the number of crashes and pending sends in the longest row of both.
func (e *entry) suspected(crashes int, pending pendingSends) int {
	if crashes == 0 {
		return len(longestRow(pending.ends()))
	}
	suspected := max(crashes, len(longestRow(slices.Concat(e.ends, pending.ends()))))
	// The ends may be fewer than the crashes, which other nodes have counted.
	return max(suspected, crashes+len(longestRow(pending.after(e.lastEnd()))))
}

// lastEnd returns when the last instance ended; zero if none has.
func (e *entry) lastEnd() (last time.Time) {
	for _, current := range e.ends {
		if current.ended.After(last) {
			last = current.ended
		}
	}
	return last
}

// lastExpiry returns when the last crash or send of the entry is forgotten and followers have
// been told of its last change.
func (e *entry) lastExpiry() time.Time {
	last := e.changedAt.Add(toldRetention)
	if e.expires.After(last) {
		last = e.expires
	}
	for _, send := range e.pending {
		if send.expires.After(last) {
			last = send.expires
		}
	}
	return last
}

// isSuspected reports whether the entry has crashes or sends.
func (e *entry) isSuspected() bool { return e.crashes > 0 || len(e.pending) > 0 }

// isKept reports whether something of the entry hasn't expired.
func (e *entry) isKept(now time.Time) bool {
	return now.Before(e.expires) || len(e.pending.unexpired(now)) > 0
}

// forgetExpired drops crashes and sends that have expired.
func (e *entry) forgetExpired(now time.Time) {
	if !now.Before(e.expires) {
		e.ends, e.crashes = nil, 0
	}
	e.pending = e.pending.unexpired(now)
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

// isUrgent reports whether all gateways have to know of the request at once. A single send
// without an outcome isn't urgent: most often its response was lost, and storage nodes count it
// with the next one anyway.
func (e *entry) isUrgent() bool { return e.crashes > 0 || len(longestRow(e.pending.closed())) > 1 }

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

// makeRoom drops the entry that expires first if the table is full. The mutex must be held.
func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var first Fingerprint
	var expires time.Time
	for fingerprint, known := range t.entries {
		last := known.lastExpiry()
		if expires.IsZero() || last.Before(expires) {
			first, expires = fingerprint, last
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
		if !now.Before(known.lastExpiry()) {
			delete(t.entries, fingerprint)
		}
	}
}
