package replica

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// ErrWriteFailed is returned for a write that couldn't be synced and for every later one,
// since the content of the disk is unknown from then on. Reopening the folder verifies it.
var ErrWriteFailed = merry.Sentinel("replica store write failed")

// maxBatchChanges limits the changes in one transaction and in the queue.
const maxBatchChanges = 256

// change is one write to the store.
type change struct {
	// apply makes the change within a transaction. It is called at most once.
	apply func(*updateTx) error
	// applyInMemory makes the change in memory after it was synced. It is nil for a
	// change that isn't kept in memory.
	applyInMemory func(*Memory) error
	// done receives the result.
	done chan error
}

// writer writes changes in consecutive transactions. Changes that arrive while a
// transaction is being synced share the next one (group commit). There is no delay to
// collect more changes.
type writer struct {
	database *bbolt.DB
	// header is the header that the last transaction wrote.
	header  header
	memory  *Memory
	changes chan change
	// failure is the error that stopped all writes. Only the goroutine of run uses it;
	// sharedFailure holds the same error for other goroutines.
	failure       error
	sharedFailure atomic.Pointer[error]
	// finished is closed when run returns.
	finished chan struct{}
	// commitCount and changeCount count the transactions and the changes in them.
	commitCount atomic.Uint64
	changeCount atomic.Uint64

	// mutex guards stopped. It is held for reading while a change is queued, so that no
	// change is queued after stopped is set.
	mutex   sync.RWMutex
	stopped bool
}

// startWriter starts a writer for the database, whose current header is stored.
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

// write queues the change and returns after it was synced, or with the error.
func (w *writer) write(requested change) error {
	requested.done = make(chan error, 1)
	w.mutex.RLock()
	if w.stopped {
		w.mutex.RUnlock()
		return ErrClosed
	}
	w.changes <- requested
	w.mutex.RUnlock()
	return <-requested.done
}

// stop waits for the queued changes and rejects later ones. It returns false if the writer
// was stopped before.
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

// run writes queued changes until stop closes the queue.
func (w *writer) run() {
	defer close(w.finished)
	for first := range w.changes {
		pending := w.collect(first)
		err := w.commit(pending)
		for _, completed := range pending {
			completed.done <- err
		}
	}
}

// collect returns the first change and the changes that are already queued, up to
// maxBatchChanges.
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

// commit writes the changes in one transaction and then applies them in memory. After a
// failure it rejects all changes, since the content of the disk is unknown.
func (w *writer) commit(pending []change) error {
	if w.failure != nil {
		return w.failure
	}
	updated := w.header
	err := recoverPanic(func() error {
		return w.database.Update(func(transaction *bbolt.Tx) error {
			return applyChanges(transaction, &updated, pending)
		})
	})
	if err != nil {
		return w.recordFailure(merry.Errorf("%w: %w", ErrWriteFailed, err))
	}
	w.header = updated
	w.commitCount.Add(1)
	w.changeCount.Add(uint64(len(pending)))
	for _, applied := range pending {
		if applied.applyInMemory == nil {
			continue
		}
		if err := applied.applyInMemory(w.memory); err != nil {
			return w.recordFailure(merry.Errorf("%w: apply in memory: %w", ErrWriteFailed, err))
		}
	}
	return nil
}

// recordFailure stops all later writes with the error and returns it.
func (w *writer) recordFailure(failure error) error {
	w.failure = failure
	w.sharedFailure.Store(&failure)
	return failure
}

// applyChanges applies the changes in the transaction and writes the updated header.
func applyChanges(transaction *bbolt.Tx, updated *header, pending []change) error {
	tx := &updateTx{bucket: transaction.Bucket(dataBucket), header: updated}
	for _, requested := range pending {
		if err := requested.apply(tx); err != nil {
			return err
		}
	}
	return tx.bucket.Put(headerKey(), encodeEntry(headerKey(), updated.encode()))
}

// updateTx is a write transaction that keeps the entry count and digest of the header up
// to date.
type updateTx struct {
	bucket *bbolt.Bucket
	header *header
}

// put adds or replaces the entry.
func (tx *updateTx) put(key, payload []byte) error {
	if err := tx.uncount(key); err != nil {
		return err
	}
	value := encodeEntry(key, payload)
	tx.header.add(value)
	return tx.bucket.Put(key, value)
}

func (tx *updateTx) remove(key []byte) error {
	if err := tx.uncount(key); err != nil {
		return err
	}
	return tx.bucket.Delete(key)
}

// uncount subtracts the stored entry, if there is one, from the header's count and digest.
func (tx *updateTx) uncount(key []byte) error {
	value := tx.bucket.Get(key)
	if value == nil {
		return nil
	}
	if _, err := decodeEntry(key, value); err != nil {
		return err
	}
	tx.header.remove(value)
	return nil
}

// removePrefix removes all entries whose keys have the prefix.
func (tx *updateTx) removePrefix(prefix []byte) error {
	var keys [][]byte
	cursor := tx.bucket.Cursor()
	for key, _ := cursor.Seek(prefix); bytes.HasPrefix(key, prefix); key, _ = cursor.Next() {
		keys = append(keys, bytes.Clone(key))
	}
	for _, key := range keys {
		if err := tx.remove(key); err != nil {
			return err
		}
	}
	return nil
}
