package replica

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"go.etcd.io/bbolt"
)

// dataBucket is the name of the data file's only bucket.
var dataBucket = []byte("replica")

// incarnationBytes is how many random bytes an incarnation has: enough that two never
// are the same.
const incarnationBytes = 16

// OpenDisk opens the store in the folder and creates the folder where there is none. It
// returns ErrLocked where another process uses the folder and ErrFormat where another
// version of the program wrote the file. A damaged file isn't an error: see Damage.
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
	disk := &Disk{lock: lock, memory: NewMemory()}
	if err := disk.open(folder, random); err != nil {
		_ = lock.Close()
		return nil, merry.Prependf(err, "open replica store in %s", folder)
	}
	return disk, nil
}

// open verifies the data file, or makes a new one where there is none or it is damaged,
// and starts the writer.
func (d *Disk) open(folder string, random io.Reader) error {
	path := filepath.Join(folder, dataFileName)
	stored, err := verifyDataFile(path, d.loadEntry)
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
	d.writer = startWriter(database, stored, d.memory)
	return nil
}

// replace sets the damaged file aside and makes an empty one.
func (d *Disk) replace(folder string, random io.Reader, damage error) (header, error) {
	target, err := setAside(folder)
	if err != nil {
		return header{}, err
	}
	d.memory = NewMemory()
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

// initialize makes a bbolt file that holds the header alone.
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

// loadEntry takes a verified entry of the data file into memory. Turns stay on the disk.
func (d *Disk) loadEntry(key, payload []byte) error {
	switch key[0] {
	case kindTurn:
		_, err := decodeTurn(key, nil)
		return err
	case kindRegister:
		state, err := decodeRegister(payload)
		if err != nil {
			return err
		}
		return d.memory.SaveRegister(keyShard(key), string(key[prefixBytes:]), state)
	case kindMeta:
		return d.memory.SaveMeta(keyShard(key), string(key[prefixBytes:]), payload)
	default:
		return corruptf("unknown entry %q", key)
	}
}
