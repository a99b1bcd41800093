package replica

import (
	"bytes"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// maxReadBytes limits what one read transaction copies. While a read transaction is open,
// bbolt can't reuse the pages that writes have replaced (chosen, not measured).
const maxReadBytes = 1 << 20

// ReadTurns visits the program's turns from the sequence number on, in order of sequence
// and digest. Turns that are stored while it runs may be among them.
func (d *Disk) ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error {
	if err := checkName(program); err != nil {
		return err
	}
	return d.eachTurn(programPrefix(shard, program), turnStart(shard, program, from), openTurn, visit)
}

// EachTurn visits every turn of the shard, in order of program, sequence and digest.
// Turns that are stored while it runs may be among them.
func (d *Disk) EachTurn(shard uint32, visit func(Turn) error) error {
	prefix := kindPrefix(kindTurn, shard)
	return d.eachTurn(prefix, prefix, openTurn, visit)
}

// decodeEntry makes a turn of an entry of the data file.
type decodeEntry func(key, sealed []byte) (Turn, error)

// eachTurn visits the turns whose keys have the prefix, from the start on. It calls visit
// outside of read transactions, so that a visitor may write to the store.
func (d *Disk) eachTurn(prefix, start []byte, decode decodeEntry, visit func(Turn) error) error {
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

// readChunk returns the turns from the start on that one read transaction may copy, and
// the key at which to go on, nil at the end.
func (d *Disk) readChunk(prefix, start []byte, decode decodeEntry) (turns []Turn, next []byte, err error) {
	read := func(transaction *bbolt.Tx) error {
		size := 0
		cursor := transaction.Bucket(dataBucket).Cursor()
		for key, sealed := cursor.Seek(start); bytes.HasPrefix(key, prefix); key, sealed = cursor.Next() {
			if size >= maxReadBytes {
				next = bytes.Clone(key)
				return nil
			}
			turn, err := decode(key, sealed)
			if err != nil {
				return merry.Prepend(err, d.database.Path())
			}
			turns = append(turns, turn)
			size += len(key) + len(turn.Object)
		}
		return nil
	}
	err = guard(func() error { return d.view(read) })
	return turns, next, err
}

// view runs a read transaction unless the store is closed.
func (d *Disk) view(read func(*bbolt.Tx) error) error {
	d.writer.mutex.RLock()
	stopped := d.writer.stopped
	d.writer.mutex.RUnlock()
	if stopped {
		return ErrClosed
	}
	return d.database.View(read)
}

// openTurn decodes a turn with its object, whose checksum it verifies.
func openTurn(key, sealed []byte) (Turn, error) {
	object, err := unseal(key, sealed)
	if err != nil {
		return Turn{}, err
	}
	return decodeTurn(key, object)
}

// guard calls access and returns ErrCorrupt where bbolt panics on a damaged page or the
// mapped file can't be read.
func guard(access func() error) (err error) {
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if problem := recover(); problem != nil {
			err = merry.Errorf("%w: %v", ErrCorrupt, problem)
		}
	}()
	return access()
}
