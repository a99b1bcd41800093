package replica

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// ErrFailed is returned for every write after one that couldn't be synced:
// what is on the disk isn't known any more. A restart verifies it.
var ErrFailed = merry.Sentinel("replica store has failed to write")

// maxBatchChanges limits the changes of one transaction.
const maxBatchChanges = 256

// change is one write. Its apply may run only once, within a transaction.
type change struct {
	apply func(*batch) error
	// mirror repeats the change in memory after the sync; nil for none.
	mirror func(*Memory) error
	done   chan error
}

// writer makes one transaction of the changes that wait while the one before
// is synced (group commit): alone, a change waits for nothing.
type writer struct {
	database *bbolt.DB
	header   header
	mirror   *Memory
	changes  chan change
	failure  error
	// failed is the failure for other goroutines.
	failed   atomic.Pointer[error]
	finished chan struct{}
	// commits and written count transactions and the changes in them.
	commits atomic.Uint64
	written atomic.Uint64

	mutex   sync.RWMutex
	stopped bool
}

func startWriter(database *bbolt.DB, stored header, mirror *Memory) *writer {
	w := &writer{
		database: database,
		header:   stored,
		mirror:   mirror,
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

// stop finishes the changes that were accepted; false where it has been done.
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

// collect adds what already waits.
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
		if applied.mirror == nil {
			continue
		}
		if err := applied.mirror(w.mirror); err != nil {
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

// batch is one transaction; it keeps the header's count and digest up to date.
type batch struct {
	bucket *bbolt.Bucket
	header *header
}

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

// forget takes the entry, where there is one, out of count and digest.
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
