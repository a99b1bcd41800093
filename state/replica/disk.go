package replica

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"crypto/rand"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// dataBucket is the one bucket of the data file.
var dataBucket = []byte("replica")

const incarnationBytes = 16

// Disk is a Store in one bbolt file of a data folder. Every write is synced
// before its method returns; writes that arrive together share a sync. Register
// states and meta values are held in memory too, so that what a replica votes
// with is read from the disk once, when the whole file is verified.
//
// A file that is damaged is renamed and never read again: the store then starts
// empty under a new incarnation, and the replica comes back by being added to
// the replica sets again.
type Disk struct {
	database    *bbolt.DB
	lock        *os.File
	incarnation string
	damage      error
	// mirror holds registers and meta values as last synced; no turns.
	mirror *Memory
	writer *writer
}

var _ Store = (*Disk)(nil)

// OpenDisk opens the store in the folder, which is created where there is
// none. It returns ErrLocked where another process has the folder and ErrFormat
// where another version wrote the file. A damaged file isn't an error: see
// Damage.
func OpenDisk(folder string) (*Disk, error) { return openDisk(folder, rand.Reader) }

// openDisk is OpenDisk with the random source of new incarnations.
func openDisk(folder string, random io.Reader) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, merry.Prepend(err, "create data folder")
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	disk := &Disk{lock: lock, mirror: NewMemory()}
	if err := disk.open(folder, random); err != nil {
		_ = lock.Close()
		return nil, merry.Prependf(err, "open replica store in %s", folder)
	}
	return disk, nil
}

func (d *Disk) open(folder string, random io.Reader) error {
	path := filepath.Join(folder, dataFileName)
	stored, err := verifyDataFile(path, d.mirrorEntry)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		stored, err = createDataFile(folder, random)
	case errors.Is(err, ErrCorrupt):
		stored, err = d.replace(folder, random, err)
	}
	if err != nil {
		return err
	}
	database, err := openBolt(path)
	if err != nil {
		return err
	}
	d.database = database
	d.incarnation = stored.incarnation
	d.writer = startWriter(database, stored, d.mirror)
	return nil
}

// replace sets the damaged file aside and starts anew.
func (d *Disk) replace(folder string, random io.Reader, damage error) (header, error) {
	target, err := setAside(folder)
	if err != nil {
		return header{}, err
	}
	d.mirror = NewMemory()
	d.damage = merry.Prependf(damage, "%s was set aside as %s", filepath.Join(folder, dataFileName), target)
	return createDataFile(folder, random)
}

// createDataFile writes an empty data file under a new incarnation. The file
// gets its name only once it is whole.
func createDataFile(folder string, random io.Reader) (header, error) {
	raw := make([]byte, incarnationBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return header{}, merry.Prepend(err, "draw an incarnation")
	}
	created := header{format: FormatVersion, incarnation: hex.EncodeToString(raw)}
	unfinished := filepath.Join(folder, newFileName)
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return header{}, merry.Prepend(err, "remove unfinished data file")
	}
	if err := initialize(unfinished, created); err != nil {
		return header{}, err
	}
	if err := os.Rename(unfinished, filepath.Join(folder, dataFileName)); err != nil {
		return header{}, merry.Prepend(err, "name the new data file")
	}
	return created, syncFolder(folder)
}

func initialize(path string, created header) error {
	database, err := openBolt(path)
	if err != nil {
		return err
	}
	err = database.Update(func(transaction *bbolt.Tx) error {
		bucket, err := transaction.CreateBucket(dataBucket)
		if err != nil {
			return err
		}
		return bucket.Put(headerKey(), seal(headerKey(), created.encode()))
	})
	return merry.Prepend(errors.Join(err, database.Close()), "write new data file")
}

func openBolt(path string) (*bbolt.DB, error) {
	// The list of free pages isn't stored: it is rebuilt from the tree, so it
	// can't contradict it, and each commit writes less.
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{
		NoFreelistSync: true,
		FreelistType:   bbolt.FreelistMapType,
	})
	return database, merry.Prependf(err, "open %s", path)
}

// mirrorEntry takes a verified entry of the data file into memory.
func (d *Disk) mirrorEntry(key, payload []byte) error {
	switch key[0] {
	case kindTurn:
		_, err := decodeTurn(key, nil)
		return err
	case kindRegister:
		state, err := decodeRegister(payload)
		if err != nil {
			return err
		}
		return d.mirror.SaveRegister(keyShard(key), string(key[prefixBytes:]), state)
	case kindMeta:
		return d.mirror.SaveMeta(keyShard(key), string(key[prefixBytes:]), payload)
	default:
		return damaged("unknown entry %q", key)
	}
}

// Incarnation returns the id under which this data is known; it stays with
// the data and changes where the data is lost.
func (d *Disk) Incarnation() string { return d.incarnation }

// Damage returns what was wrong with the data file that OpenDisk found and
// where it was moved; nil where nothing was wrong.
func (d *Disk) Damage() error { return d.damage }

// Failure returns why the store takes no writes any more; nil while it does. What
// the disk holds isn't known then: only opening the folder again tells.
func (d *Disk) Failure() error {
	if failure := d.writer.failed.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Written tells how many changes were synced so far, and in how many commits.
func (d *Disk) Written() (changes, commits uint64) {
	return d.writer.written.Load(), d.writer.commits.Load()
}

// LoadRegister returns the zero Register for a key that was never saved.
func (d *Disk) LoadRegister(shard uint32, key string) (Register, error) {
	return d.mirror.LoadRegister(shard, key)
}

// EachRegister visits the registers as they were when it was called.
func (d *Disk) EachRegister(shard uint32, visit func(key string, state Register) error) error {
	return d.mirror.EachRegister(shard, visit)
}

// LoadMeta returns nil for a name that was never saved.
func (d *Disk) LoadMeta(shard uint32, name string) ([]byte, error) {
	return d.mirror.LoadMeta(shard, name)
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
		apply:  func(b *batch) error { return b.put(entry, payload) },
		mirror: func(m *Memory) error { return m.SaveRegister(shard, key, state) },
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
		mirror: func(m *Memory) error { return m.SaveMeta(shard, name, payload) },
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
		mirror: func(m *Memory) error { return m.DropShard(shard) },
	})
}

// Close waits for the writes in progress and closes the file.
func (d *Disk) Close() error {
	if !d.writer.stop() {
		return nil
	}
	return errors.Join(d.mirror.Close(), d.database.Close(), d.lock.Close())
}
