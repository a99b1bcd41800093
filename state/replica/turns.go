package replica

import (
	"bytes"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// maxReadChunkBytes limits how much one read transaction copies. While a read transaction
// is open, bbolt can't reuse the pages that writes replace.
const maxReadChunkBytes = 1 << 20

// ReadTurns visits the program's turns whose sequence is at least from, in order of
// sequence and digest. It may include turns that are stored while it runs.
func (d *Disk) ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error {
	if err := checkName(program); err != nil {
		return err
	}
	return d.eachTurn(programPrefix(shard, program), turnKeyPrefix(shard, program, from), decodeTurnEntry, visit)
}

// EachTurn visits all turns of the shard, in order of program, sequence and digest. It may
// include turns that are stored while it runs.
func (d *Disk) EachTurn(shard uint32, visit func(Turn) error) error {
	prefix := kindPrefix(kindTurn, shard)
	return d.eachTurn(prefix, prefix, decodeTurnEntry, visit)
}

// turnDecoder decodes a turn from an entry of the data file.
type turnDecoder func(key, value []byte) (Turn, error)

// eachTurn visits the turns whose keys have the prefix, beginning at the key start. It
// calls visit outside of read transactions, so visit may write to the store.
func (d *Disk) eachTurn(prefix, start []byte, decode turnDecoder, visit func(Turn) error) error {
	for start != nil {
		turns, next, err := d.readChunk(prefix, start, decode)
		if err != nil {
			return err
		}
		for _, turn := range turns {
			if err := visit(turn); err != nil {
				return err
			}
		}
		start = next
	}
	return nil
}

// readChunk returns turns beginning at the key start, up to about maxReadChunkBytes, and
// the key at which to continue, nil at the end.
func (d *Disk) readChunk(prefix, start []byte, decode turnDecoder) (turns []Turn, next []byte, err error) {
	read := func(transaction *bbolt.Tx) error {
		size := 0
		cursor := transaction.Bucket(dataBucket).Cursor()
		for key, value := cursor.Seek(start); bytes.HasPrefix(key, prefix); key, value = cursor.Next() {
			if size >= maxReadChunkBytes {
				next = bytes.Clone(key)
				return nil
			}
			turn, err := decode(key, value)
			if err != nil {
				return merry.Prepend(err, d.database.Path())
			}
			turns = append(turns, turn)
			size += len(key) + len(turn.Object)
		}
		return nil
	}
	err = recoverPanic(func() error { return d.view(read) })
	return turns, next, err
}

// view runs a read transaction, or returns ErrClosed if the store is closed.
func (d *Disk) view(read func(*bbolt.Tx) error) error {
	d.writer.mutex.RLock()
	stopped := d.writer.stopped
	d.writer.mutex.RUnlock()
	if stopped {
		return ErrClosed
	}
	return d.database.View(read)
}

// decodeTurnEntry decodes a turn with its object after verifying the checksum.
func decodeTurnEntry(key, value []byte) (Turn, error) {
	object, err := decodeEntry(key, value)
	if err != nil {
		return Turn{}, err
	}
	return decodeTurn(key, object)
}

// recoverPanic calls access and returns ErrCorrupt if bbolt panics on a corrupt page or if
// reading the memory-mapped file faults.
func recoverPanic(access func() error) (err error) {
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if cause := recover(); cause != nil {
			err = merry.Errorf("%w: %v", ErrCorrupt, cause)
		}
	}()
	return access()
}
