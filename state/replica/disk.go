package replica

import (
	"bytes"
	"errors"
	"os"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// Disk is a Store in a bbolt file in a data folder. Every write is synced before its
// method returns; concurrent writes share a sync. Registers and meta values are also kept
// in memory: they are read from the disk only once, when opening verifies the whole file.
//
// A corrupt file is renamed and not read again. The store then starts empty under a new
// incarnation, and the replica has to be added to its replica sets again.
type Disk struct {
	database *bbolt.DB
	// lockFile holds the lock on the folder while it is open.
	lockFile    *os.File
	incarnation string
	damage      error
	// memory holds the registers and meta values as last synced, but no turns.
	memory *Memory
	writer *writer
}

var _ Store = (*Disk)(nil)

// Incarnation returns the ID under which replica sets know this data. It is stored with
// the data, and a new one is generated if the data is lost.
func (d *Disk) Incarnation() string { return d.incarnation }

// Corruption returns an error that describes the corruption that OpenDisk found in the data
// file and the path to which it renamed the file, or nil if the file was valid.
func (d *Disk) Corruption() error { return d.damage }

// WriteError returns the error that stopped all writes, or nil if there was none. The content
// of the disk is unknown after a failure; reopening the folder verifies it.
func (d *Disk) WriteError() error {
	if failure := d.writer.sharedFailure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// WriteCounts returns the number of changes synced so far and of the transactions that they
// took.
func (d *Disk) WriteCounts() (changes, commits uint64) {
	return d.writer.changeCount.Load(), d.writer.commitCount.Load()
}

// LoadRegister returns the state of the register, or the zero Register if it was never
// saved.
func (d *Disk) LoadRegister(shard uint32, key string) (Register, error) {
	return d.memory.LoadRegister(shard, key)
}

// EachRegister visits a snapshot of the registers, taken when it is called.
func (d *Disk) EachRegister(shard uint32, visit func(key string, state Register) error) error {
	return d.memory.EachRegister(shard, visit)
}

// LoadMeta returns the value, or nil if there is none.
func (d *Disk) LoadMeta(shard uint32, name string) ([]byte, error) {
	return d.memory.LoadMeta(shard, name)
}

// SaveRegister replaces the state of the register and returns after it was synced.
func (d *Disk) SaveRegister(shard uint32, key string, state Register) error {
	if err := checkName(key); err != nil {
		return err
	}
	payload, err := encodeRegister(copyRegister(state))
	if err != nil {
		return merry.Prepend(err, "encode register")
	}
	entryKey := registerKey(shard, key)
	return d.writer.write(change{
		apply:         func(tx *updateTx) error { return tx.put(entryKey, payload) },
		applyInMemory: func(m *Memory) error { return m.SaveRegister(shard, key, state) },
	})
}

// SaveMeta replaces the value and returns after it was synced. An empty value removes it.
func (d *Disk) SaveMeta(shard uint32, name string, value []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	entryKey := metaKey(shard, name)
	payload := bytes.Clone(value)
	return d.writer.write(change{
		apply: func(tx *updateTx) error {
			if len(payload) == 0 {
				return tx.remove(entryKey)
			}
			return tx.put(entryKey, payload)
		},
		applyInMemory: func(m *Memory) error { return m.SaveMeta(shard, name, payload) },
	})
}

// PutTurn stores the turn and returns after it was synced.
func (d *Disk) PutTurn(shard uint32, turn Turn) error {
	if err := checkName(turn.Program); err != nil {
		return err
	}
	entryKey := turnKey(shard, turn)
	return d.writer.write(change{
		apply: func(tx *updateTx) error { return tx.put(entryKey, turn.Object) },
	})
}

// EachTurnKey implements TurnLister.
func (d *Disk) EachTurnKey(shard uint32, visit func(Turn) error) error {
	prefix := kindPrefix(kindTurn, shard)
	return d.eachTurn(prefix, prefix, decodeTurnKey, visit)
}

// decodeTurnKey decodes a turn without its object, which is neither read nor verified.
func decodeTurnKey(key, _ []byte) (Turn, error) {
	return decodeTurn(bytes.Clone(key), nil)
}

// DeleteTurns deletes the turns of the program, but not its register.
func (d *Disk) DeleteTurns(shard uint32, program string) error {
	if err := checkName(program); err != nil {
		return err
	}
	prefix := programPrefix(shard, program)
	return d.writer.write(change{
		apply: func(tx *updateTx) error { return tx.removePrefix(prefix) },
	})
}

// DropShard deletes the registers, turns and meta values of the shard.
func (d *Disk) DropShard(shard uint32) error {
	return d.writer.write(change{
		apply: func(tx *updateTx) error {
			for _, kind := range []byte{kindRegister, kindMeta, kindTurn} {
				if err := tx.removePrefix(kindPrefix(kind, shard)); err != nil {
					return err
				}
			}
			return nil
		},
		applyInMemory: func(m *Memory) error { return m.DropShard(shard) },
	})
}

// Close waits for queued writes, closes the file and unlocks the folder.
func (d *Disk) Close() error {
	if !d.writer.stop() {
		return nil
	}
	return errors.Join(d.memory.Close(), d.database.Close(), d.lockFile.Close())
}
