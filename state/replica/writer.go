package replica

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// ErrFailed is returned for a write that couldn't be synced and for every later one:
// what is on the disk isn't known any more. Opening the folder again verifies it.
var ErrFailed = merry.Sentinel("replica store has failed to write")

// maxBatchChanges limits the changes of one transaction and is the length of the queue
// (chosen, not measured).
const maxBatchChanges = 256

// change is one write to the store.
type change struct {
	// apply makes the change within a transaction. It runs once.
	apply func(*batch) error
	// inMemory makes the change in memory once it is synced; nil for none.
	inMemory func(*Memory) error
	// done receives the result.
	done chan error
}

// writer writes the changes one transaction after another. All changes that arrive while
// a transaction is synced share the next one (group commit), so that a change that
// arrives alone waits for nothing.
type writer struct {
	database *bbolt.DB
	// header is that of the last transaction.
	header  header
	memory  *Memory
	changes chan change
	// failure is the error that ended writing. Only run uses it; failed is the same for
	// other goroutines.
	failure error
	failed  atomic.Pointer[error]
	// finished is closed when run has ended.
	finished chan struct{}
	// commits and written count transactions and the changes in them.
	commits atomic.Uint64
	written atomic.Uint64

	// mutex is held for reading while a change is queued, so that none is queued once
	// stopped is set.
	mutex   sync.RWMutex
	stopped bool
}

// startWriter starts a writer of the database with the header that it has.
func startWriter(database *bbolt.DB, stored header, memory *Memory) *writer {
	w := &writer{
		database: database,
		header:   stored,
		memory:   memory,
		changes:  make(chan change, maxBatchChanges),
		finished: make(chan struct{}),
	}
	go w.run()
	return w
}

// do applies the change and returns once it is synced.
func (w *writer) do(wanted change) error {
	wanted.done = make(chan error, 1)
	w.mutex.RLock()
	if w.stopped {
		w.mutex.RUnlock()
		return ErrClosed
	}
	w.changes <- wanted
	w.mutex.RUnlock()
	return <-wanted.done
}

// stop finishes the changes that were queued. It returns false where stop was called
// before.
func (w *writer) stop() bool {
	w.mutex.Lock()
	if w.stopped {
		w.mutex.Unlock()
		return false
	}
	w.stopped = true
	close(w.changes)
	w.mutex.Unlock()
	<-w.finished
	return true
}

func (w *writer) run() {
	defer close(w.finished)
	for first := range w.changes {
		pending := w.collect(first)
		err := w.commit(pending)
		for _, waiting := range pending {
			waiting.done <- err
		}
	}
}

// collect returns the first change and those that already wait, as far as one
// transaction takes them.
func (w *writer) collect(first change) []change {
	pending := []change{first}
	for len(pending) < maxBatchChanges {
		select {
		case next, open := <-w.changes:
			if !open {
				return pending
			}
			pending = append(pending, next)
		default:
			return pending
		}
	}
	return pending
}

// commit writes the changes in one transaction and then makes them in memory. After a
// failure nothing is written any more, since what the disk holds isn't known.
func (w *writer) commit(pending []change) error {
	if w.failure != nil {
		return w.failure
	}
	updated := w.header
	err := guard(func() error {
		return w.database.Update(func(transaction *bbolt.Tx) error {
			return applyAll(transaction, &updated, pending)
		})
	})
	if err != nil {
		return w.fail(merry.Errorf("%w: %w", ErrFailed, err))
	}
	w.header = updated
	w.commits.Add(1)
	w.written.Add(uint64(len(pending)))
	for _, applied := range pending {
		if applied.inMemory == nil {
			continue
		}
		if err := applied.inMemory(w.memory); err != nil {
			return w.fail(merry.Errorf("%w: in memory: %w", ErrFailed, err))
		}
	}
	return nil
}

func (w *writer) fail(failure error) error {
	w.failure = failure
	w.failed.Store(&failure)
	return failure
}

func applyAll(transaction *bbolt.Tx, updated *header, pending []change) error {
	b := &batch{bucket: transaction.Bucket(dataBucket), header: updated}
	for _, wanted := range pending {
		if err := wanted.apply(b); err != nil {
			return err
		}
	}
	return b.bucket.Put(headerKey(), seal(headerKey(), updated.encode()))
}

// batch is one transaction. It keeps the header's count and digest up to date.
type batch struct {
	bucket *bbolt.Bucket
	header *header
}

// put writes the entry in place of an earlier one.
func (b *batch) put(key, payload []byte) error {
	if err := b.forget(key); err != nil {
		return err
	}
	sealed := seal(key, payload)
	b.header.add(sealed)
	return b.bucket.Put(key, sealed)
}

func (b *batch) remove(key []byte) error {
	if err := b.forget(key); err != nil {
		return err
	}
	return b.bucket.Delete(key)
}

// forget takes the entry, where there is one, out of the header's count and digest.
func (b *batch) forget(key []byte) error {
	sealed := b.bucket.Get(key)
	if sealed == nil {
		return nil
	}
	if _, err := unseal(key, sealed); err != nil {
		return err
	}
	b.header.remove(sealed)
	return nil
}

// removePrefix removes all entries whose keys begin with the prefix.
func (b *batch) removePrefix(prefix []byte) error {
	var keys [][]byte
	cursor := b.bucket.Cursor()
	for key, _ := cursor.Seek(prefix); bytes.HasPrefix(key, prefix); key, _ = cursor.Next() {
		keys = append(keys, bytes.Clone(key))
	}
	for _, key := range keys {
		if err := b.remove(key); err != nil {
			return err
		}
	}
	return nil
}
