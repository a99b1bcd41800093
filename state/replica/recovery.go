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

// Names inside the data folder.
const (
	dataFileName = "replica.db"
	// newFileName is the name of a data file until it is whole.
	newFileName = "replica.db.new"
	// lockFileName is the file that a process locks while it uses the folder.
	lockFileName = "replica.lock"
	// corruptFileFormat names a damaged data file that was set aside.
	corruptFileFormat = "replica.db.corrupt-%d"
)

// Permissions of what the store creates: its data is for this user alone.
const (
	folderMode = 0o750
	fileMode   = 0o600
)

// ErrLocked is returned where another process uses the data folder.
var ErrLocked = merry.Sentinel("data folder is in use by another process")

// lockFolder takes the folder for this process until the file is closed.
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

// verifyDataFile reads the whole file without trusting any of it and returns its header.
// It calls visit for each other entry. It returns ErrCorrupt where the content is damaged
// and ErrFormat where another version of the program wrote it.
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

// verifyData is verifyDataFile for content of any source; size is in bytes.
func verifyData(source io.ReaderAt, size int64, visit func(key, payload []byte) error) (header, error) {
	file, err := openBoltFile(source, size)
	if err != nil {
		return header{}, err
	}
	var stored, counted header
	found := false
	err = file.eachEntry(dataBucket, func(key, value []byte) error {
		payload, err := unseal(key, value)
		if err != nil {
			return err
		}
		if bytes.Equal(key, headerKey()) {
			found = true
			stored, err = decodeHeader(payload)
			return err
		}
		counted.add(value)
		return visit(key, payload)
	})
	if err != nil {
		return header{}, err
	}
	if !found {
		return header{}, corruptf("the header is missing")
	}
	if stored.entries != counted.entries || stored.digest != counted.digest {
		return header{}, corruptf("%d entries with digest %016x, the header says %d with %016x",
			counted.entries, counted.digest, stored.entries, stored.digest)
	}
	return stored, nil
}

// setAside renames the damaged data file and returns its new path.
func setAside(folder string) (string, error) {
	path := filepath.Join(folder, dataFileName)
	for number := 1; ; number++ {
		target := filepath.Join(folder, fmt.Sprintf(corruptFileFormat, number))
		_, err := os.Lstat(target)
		if err == nil {
			continue
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return "", merry.Prependf(err, "look for %s", target)
		}
		if err := os.Rename(path, target); err != nil {
			return "", merry.Prepend(err, "set the damaged data file aside")
		}
		return target, syncFolder(folder)
	}
}

// syncFolder makes renames in the folder durable.
func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return merry.Prepend(err, "open data folder")
	}
	defer handle.Close()
	return merry.Prepend(handle.Sync(), "sync data folder")
}
