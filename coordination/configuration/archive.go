package configuration

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
)

// Archive keeps a node's configuration across restarts. A node with a data
// folder needs one: its replicas keep their promises, so it must not forget
// which version it has acknowledged.
type Archive interface {
	// Load returns what was saved last; the zero Update where nothing was.
	Load() (Update, error)
	// Save has reached the medium when it returns.
	Save(Update) error
}

// archiveFile is the name of the file in the data folder.
const archiveFile = "configuration.json"

// FileArchive is an Archive in one file of a data folder.
type FileArchive struct {
	folder string
}

// NewFileArchive makes an Archive in the folder, which must exist.
func NewFileArchive(folder string) *FileArchive { return &FileArchive{folder: folder} }

// Load reads the file.
func (a *FileArchive) Load() (Update, error) {
	path := filepath.Join(a.folder, archiveFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Update{}, nil
	}
	if err != nil {
		return Update{}, merry.Prepend(err, "can't read the configuration archive")
	}
	var update Update
	if err := json.Unmarshal(data, &update); err != nil {
		return Update{}, merry.Errorf("configuration archive %s is damaged: %w", path, err)
	}
	return update, nil
}

// Save replaces the file: a crash leaves either the old or the new one whole.
func (a *FileArchive) Save(update Update) error {
	data, err := json.Marshal(update)
	if err != nil {
		return merry.Prepend(err, "can't encode the configuration archive")
	}
	path := filepath.Join(a.folder, archiveFile)
	if err := writeSynced(path+".new", data); err != nil {
		return merry.Prepend(err, "can't write the configuration archive")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return merry.Prepend(err, "can't replace the configuration archive")
	}
	return syncFolder(a.folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Sync(), file.Close())
}

// syncFolder makes a rename in the folder durable.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return merry.Prepend(err, "can't open the data folder")
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return merry.Prepend(err, "can't sync the data folder")
	}
	return nil
}
