package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
	"unique"
)

const (
	// MaxRecords bounds the memory of a table to about 20 MB. Beyond it the oldest record is
	// dropped.
	MaxRecords = 100_000
	// renewalInterval is the shortest time after which the retention of a record begins anew.
	renewalInterval = Retention / 10
)

// Table holds the records of a storage node. It is safe for concurrent use.
type Table struct {
	now     func() time.Time
	started time.Time

	mutex   sync.Mutex
	records map[digest]tableRecord
	// queue holds the records in the order in which they were last received, with earlier
	// receipts of the same records between them.
	queue []receipt
	// completeSince is the time since which the table has dropped no record.
	completeSince time.Duration
}

// digest stands for a key. Clients choose their keys, so that it has to resist collisions.
type digest [16]byte

// tableRecord is a record. Its times are those since the table's start.
type tableRecord struct {
	origin  unique.Handle[Origin]
	change  uint32
	isFinal bool
	// members is the number of members of the set of the epoch.
	members uint16
	epoch   uint64
	// recorded is when the table first received this change, received when it last did.
	recorded, received time.Duration
}

type receipt struct {
	key digest
	at  time.Duration
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, started: now(), records: make(map[digest]tableRecord)}
}

// elapsed returns the time since the table's start.
func (t *Table) elapsed() time.Duration { return t.now().Sub(t.started) }

// digestOf separates the parts of the key by their lengths.
func digestOf(key Key) digest {
	var buffer []byte
	for _, part := range []string{key.Request, key.Program, key.Tenant} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return digest(sum[:len(digest{})])
}

// Record keeps the record for the Retention, from the last time it was received on, unless
// the table has one with a later change. If records differ in the origin alone, it is uncertain.
func (t *Table) Record(record Record) {
	key := digestOf(record.Key)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.elapsed()
	known, found := t.records[key]
	switch {
	case found && known.change > record.Change:
		return
	case !found || known.change < record.Change:
		known = tableRecord{origin: unique.Make(record.Origin), change: record.Change, recorded: now}
		found = false
	case known.origin.Value() != record.Origin:
		known.origin = unique.Make(Origin{})
	}
	known.isFinal = known.isFinal || record.IsFinal
	if record.Epoch > known.epoch {
		known.epoch, known.members = record.Epoch, uint16(record.Members)
	}
	if !found || now-known.received >= renewalInterval {
		known.received = now
		t.queue = append(t.queue, receipt{key, now})
	}
	t.records[key] = known
	t.drop(now)
}

// Find returns what the table knows of the stream.
func (t *Table) Find(key Key) Answer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.elapsed()
	t.drop(now)
	answer := Answer{RecordingFor: now - t.completeSince}
	if known, found := t.records[digestOf(key)]; found {
		answer.Known, answer.Origin, answer.Change, answer.Age = true, known.origin.Value(), known.change, now-known.recorded
		answer.IsFinal, answer.Epoch, answer.Members = known.isFinal, known.epoch, uint32(known.members)
	}
	return answer
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records)
}

// drop drops the records that have expired, and the oldest ones beyond MaxRecords. The mutex
// must be held.
func (t *Table) drop(now time.Duration) {
	for len(t.queue) > 0 {
		oldest := t.queue[0]
		known, found := t.records[oldest.key]
		isLast := found && known.received == oldest.at
		if isLast && len(t.records) <= MaxRecords && now-oldest.at < Retention {
			return
		}
		t.queue = t.queue[1:]
		if isLast {
			delete(t.records, oldest.key)
			t.completeSince = oldest.at + 1
		}
	}
}
