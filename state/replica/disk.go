package replica

import (
	"bytes"
	"errors"
	"os"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// Disk is a Store in one bbolt file of a data folder. Every write is synced before its
// method returns; writes that arrive together share a sync. Register states and meta
// values are held in memory too, so that what a replica votes with is read from the disk
// once, when the whole file is verified.
//
// A damaged file is renamed and never read again. The store then starts empty under a
// new incarnation, and the replica comes back by being added to the replica sets again.
type Disk struct {
	database *bbolt.DB
	// lock keeps other processes from the folder while it is open.
	lock        *os.File
	incarnation string
	damage      error
	// memory holds registers and meta values as last synced; no turns.
	memory *Memory
	writer *writer
}

var _ Store = (*Disk)(nil)

// Incarnation returns the id under which replica sets know this data. It stays with the
// data and is a new one where the data was lost.
func (d *Disk) Incarnation() string { return d.incarnation }

// Damage returns what was wrong with the data file that OpenDisk found and
// where it was moved; nil where nothing was wrong.
func (d *Disk) Damage() error { return d.damage }

// Failure returns why the store takes no writes any more, or nil while it does. What the
// disk holds isn't known after a failure; opening the folder again verifies it.
func (d *Disk) Failure() error {
	if failure := d.writer.failed.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Written returns how many changes were synced so far, and in how many transactions.
func (d *Disk) Written() (changes, commits uint64) {
	return d.writer.written.Load(), d.writer.commits.Load()
}

// LoadRegister returns the zero Register for a key that was never saved.
func (d *Disk) LoadRegister(shard uint32, key string) (Register, error) {
	return d.memory.LoadRegister(shard, key)
}

// EachRegister visits the registers as they were when it was called.
func (d *Disk) EachRegister(shard uint32, visit func(key string, state Register) error) error {
	return d.memory.EachRegister(shard, visit)
}

// LoadMeta returns nil for a name that was never saved.
func (d *Disk) LoadMeta(shard uint32, name string) ([]byte, error) {
	return d.memory.LoadMeta(shard, name)
}

// SaveRegister replaces the state of the key and returns once it is synced.
func (d *Disk) SaveRegister(shard uint32, key string, state Register) error {
	if err := checkName(key); err != nil {
		return err
	}
	payload, err := encodeRegister(copyRegister(state))
	if err != nil {
		return merry.Prepend(err, "encode register")
	}
	entry := registerKey(shard, key)
	return d.writer.do(change{
		apply:    func(b *batch) error { return b.put(entry, payload) },
		inMemory: func(m *Memory) error { return m.SaveRegister(shard, key, state) },
	})
}

// SaveMeta replaces the value and returns once it is synced; an empty value
// removes it.
func (d *Disk) SaveMeta(shard uint32, name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	entry := metaKey(shard, name)
	payload := bytes.Clone(value)
	return d.writer.do(change{
		apply: func(b *batch) error {
			if len(payload) == 0 {
				return b.remove(entry)
			}
			return b.put(entry, payload)
		},
		inMemory: func(m *Memory) error { return m.SaveMeta(shard, name, payload) },
	})
}

// PutTurn stores the turn and returns once it is synced.
func (d *Disk) PutTurn(shard uint32, turn Turn) error {
	if err := checkName(turn.Program); err != nil {
		return err
	}
	entry := turnKey(shard, turn)
	return d.writer.do(change{
		apply: func(b *batch) error { return b.put(entry, turn.Object) },
	})
}

// EachTurnName implements TurnLister.
func (d *Disk) EachTurnName(shard uint32, visit func(Turn) error) error {
	prefix := kindPrefix(kindTurn, shard)
	return d.eachTurn(prefix, prefix, turnName, visit)
}

// turnName decodes a turn without its object, which isn't read or verified.
func turnName(key, _ []byte) (Turn, error) {
	return decodeTurn(bytes.Clone(key), nil)
}

// DropProgram forgets the turns of the program; its register stays.
func (d *Disk) DropProgram(shard uint32, program string) error {
	if err := checkName(program); err != nil {
		return err
	}
	prefix := programPrefix(shard, program)
	return d.writer.do(change{
		apply: func(b *batch) error { return b.removePrefix(prefix) },
	})
}

// DropShard forgets the registers, turns and meta values of the shard.
func (d *Disk) DropShard(shard uint32) error {
	return d.writer.do(change{
		apply: func(b *batch) error {
			for _, kind := range []byte{kindRegister, kindMeta, kindTurn} {
				if err := b.removePrefix(kindPrefix(kind, shard)); err != nil {
					return err
				}
			}
			return nil
		},
		inMemory: func(m *Memory) error { return m.DropShard(shard) },
	})
}

// Close waits for the writes in progress and closes the file.
func (d *Disk) Close() error {
	if !d.writer.stop() {
		return nil
	}
	return errors.Join(d.memory.Close(), d.database.Close(), d.lock.Close())
}
