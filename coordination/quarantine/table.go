package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxEntries bounds the memory of a table to about 3 MB.
	maxEntries = 10_000
	// sweepInterval is the shortest pause between two searches for expired entries.
	sweepInterval = time.Second
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
	added := endOf(crash.try(), now)
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

// clear forgets the crashes of the entry, which is kept while gateways may tell of them again.
// The mutex must be held.
func (t *Table) clear(known *entry) {
	now := t.now()
	known.ends, known.crashes, known.pending, known.isResolved = nil, 0, nil, false
	known.clearedAt, known.expires = now, now.Add(suspectLifetime)
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
