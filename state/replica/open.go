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

// incarnationBytes is the number of random bytes of an incarnation, enough to rule out
// duplicates in practice.
const incarnationBytes = 16

// OpenDisk opens the store in the folder, which it creates if necessary. It returns
// ErrLocked if the folder is in use and ErrUnsupportedFormat if the file has another
// format version. A corrupt file isn't an error but is replaced: see [Disk.Corruption].
func OpenDisk(folder string) (*Disk, error) { return openDisk(folder, rand.Reader) }

// openDisk is OpenDisk with a random source for new incarnations.
func openDisk(folder string, random io.Reader) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, merry.Prepend(err, "create data folder")
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	disk := &Disk{lockFile: lock, memory: NewMemory()}
	if err := disk.open(folder, random); err != nil {
		_ = lock.Close()
		return nil, merry.Prependf(err, "open replica store in %s", folder)
	}
	return disk, nil
}

// open verifies the data file, or creates a new one if it is missing or corrupt, and
// starts the writer.
func (d *Disk) open(folder string, random io.Reader) error {
	path := filepath.Join(folder, dataFileName)
	stored, err := verifyDataFile(path, d.loadEntry)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		stored, err = createDataFile(folder, random)
	case errors.Is(err, ErrCorrupt):
		stored, err = d.replaceCorruptFile(folder, random, err)
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

// replaceCorruptFile renames the corrupt file and creates an empty one.
func (d *Disk) replaceCorruptFile(folder string, random io.Reader, damage error) (header, error) {
	target, err := renameCorruptFile(folder)
	if err != nil {
		return header{}, err
	}
	d.memory = NewMemory()
	d.damage = merry.Prependf(damage, "%s was renamed to %s", filepath.Join(folder, dataFileName), target)
	return createDataFile(folder, random)
}

// createDataFile creates an empty data file with a new incarnation. It writes a temporary
// file first, so that an incomplete file never has the final name.
func createDataFile(folder string, random io.Reader) (header, error) {
	raw := make([]byte, incarnationBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return header{}, merry.Prepend(err, "generate incarnation")
	}
	created := header{format: FormatVersion, incarnation: hex.EncodeToString(raw)}
	temporaryPath := filepath.Join(folder, temporaryFileName)
	if err := os.Remove(temporaryPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return header{}, merry.Prepend(err, "remove temporary data file")
	}
	if err := initializeDataFile(temporaryPath, created); err != nil {
		return header{}, err
	}
	if err := os.Rename(temporaryPath, filepath.Join(folder, dataFileName)); err != nil {
		return header{}, merry.Prepend(err, "rename new data file")
	}
	return created, syncFolder(folder)
}

// initializeDataFile creates a bbolt file that contains only the header.
func initializeDataFile(path string, created header) error {
	database, err := openBolt(path)
	if err != nil {
		return err
	}
	err = database.Update(func(transaction *bbolt.Tx) error {
		bucket, err := transaction.CreateBucket(dataBucket)
		if err != nil {
			return err
		}
		return bucket.Put(headerKey(), encodeEntry(headerKey(), created.encode()))
	})
	return merry.Prepend(errors.Join(err, database.Close()), "write new data file")
}

func openBolt(path string) (*bbolt.DB, error) {
	// Without a stored freelist, bbolt rebuilds it from the tree when it opens the file.
	// It can't contradict the tree then, and each commit writes less.
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{
		NoFreelistSync: true,
		FreelistType:   bbolt.FreelistMapType,
	})
	return database, merry.Prependf(err, "open %s", path)
}

// loadEntry loads a verified entry of the data file into memory. Turns are only checked,
// not loaded.
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
		return d.memory.SaveRegister(keyShard(key), string(key[keyPrefixBytes:]), state)
	case kindMeta:
		return d.memory.SaveMeta(keyShard(key), string(key[keyPrefixBytes:]), payload)
	default:
		return corruptf("unknown kind of entry %q", key)
	}
}
