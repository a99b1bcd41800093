package streamorigin

import (
	"sync"
	"time"
)

const (
	// maxRecords bounds the memory of a table to about 15 MB.
	maxRecords = 50_000
	// sweepInterval is the shortest pause between two searches for expired records.
	sweepInterval = time.Second
)

// Table holds the records of a storage node. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mutex   sync.Mutex
	records map[Key]tableRecord
	// completeSince is the time since which the table has dropped no record.
	completeSince time.Time
	sweptAt       time.Time
}

type tableRecord struct {
	origin   Origin
	change   uint32
	recorded time.Time
	expires  time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, records: make(map[Key]tableRecord), completeSince: now()}
}

// Record keeps the record for its lifetime, unless the table has it or one with a later
// change.
func (t *Table) Record(record Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	t.sweep(now)
	known, found := t.records[record.Key]
	if found && known.change >= record.Change {
		return
	}
	if !found && len(t.records) >= maxRecords {
		t.completeSince = now
		return
	}
	t.records[record.Key] = tableRecord{origin: record.Origin, change: record.Change, recorded: now, expires: now.Add(record.Lifetime)}
}

// Find returns what the table knows of the stream.
func (t *Table) Find(key Key) Answer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	answer := Answer{RecordingFor: now.Sub(t.completeSince)}
	if known, found := t.records[key]; found && now.Before(known.expires) {
		answer.Known, answer.Origin, answer.Change, answer.Age = true, known.origin, known.change, now.Sub(known.recorded)
	}
	return answer
}

// Len returns the number of records, including expired ones not dropped yet.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records)
}

// sweep drops the expired records, once a sweepInterval. The mutex must be held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, record := range t.records {
		if !now.Before(record.expires) {
			delete(t.records, key)
		}
	}
}
