package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// File names in the data folder.
const (
	dataFileName = "replica.db"
	// temporaryFileName is the name of a data file until it is complete.
	temporaryFileName = "replica.db.new"
	// lockFileName is the name of the file that a process locks while it uses the folder.
	lockFileName = "replica.lock"
	// corruptFileFormat is the name, with a number, that a corrupt data file is renamed to.
	corruptFileFormat = "replica.db.corrupt-%d"
)

// Permissions of the folder and files that the store creates.
const (
	folderMode = 0o750
	fileMode   = 0o600
)

// ErrLocked is returned if another process uses the data folder.
var ErrLocked = merry.Sentinel("data folder is in use by another process")

// lockFolder locks the folder for this process until the returned file is closed.
func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockFileName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, merry.Prepend(err, "open lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, merry.Errorf("%w: lock %s: %w", ErrLocked, path, err)
	}
	return file, nil
}

// verifyDataFile reads and verifies the whole file and returns its header. It calls visit
// for each other entry. It returns ErrCorrupt if the content is corrupt and
// ErrUnsupportedFormat if the file has another format version.
func verifyDataFile(path string, visit func(key, payload []byte) error) (header, error) {
	source, err := os.Open(path)
	if err != nil {
		return header{}, merry.Prepend(err, "open data file")
	}
	defer source.Close()
	info, err := source.Stat()
	if err != nil {
		return header{}, merry.Prepend(err, "stat data file")
	}
	return verifyData(source, info.Size(), visit)
}

// verifyData is verifyDataFile for the size bytes of any source.
func verifyData(source io.ReaderAt, size int64, visit func(key, payload []byte) error) (header, error) {
	file, err := openBoltFile(source, size)
	if err != nil {
		return header{}, err
	}
	var stored, computed header
	found := false
	err = file.eachEntry(dataBucket, func(key, value []byte) error {
		payload, err := decodeEntry(key, value)
		if err != nil {
			return err
		}
		if bytes.Equal(key, headerKey()) {
			found = true
			stored, err = decodeHeader(payload)
			return err
		}
		computed.add(value)
		return visit(key, payload)
	})
	if err != nil {
		return header{}, err
	}
	if !found {
		return header{}, corruptf("header is missing")
	}
	if stored.entryCount != computed.entryCount || stored.digest != computed.digest {
		return header{}, corruptf("found %d entries with digest %016x, header has %d with %016x",
			computed.entryCount, computed.digest, stored.entryCount, stored.digest)
	}
	return stored, nil
}

// renameCorruptFile renames the corrupt data file and returns its new path.
func renameCorruptFile(folder string) (string, error) {
	path := filepath.Join(folder, dataFileName)
	for number := 1; ; number++ {
		target := filepath.Join(folder, fmt.Sprintf(corruptFileFormat, number))
		_, err := os.Lstat(target)
		if err == nil {
			continue
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return "", merry.Prependf(err, "stat %s", target)
		}
		if err := os.Rename(path, target); err != nil {
			return "", merry.Prepend(err, "rename corrupt data file")
		}
		return target, syncFolder(folder)
	}
}

// syncFolder syncs the folder so that renames in it are durable.
func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return merry.Prepend(err, "open data folder")
	}
	defer handle.Close()
	return merry.Prepend(handle.Sync(), "sync data folder")
}
