package configuration_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/configuration"
)

// TestCutArchiveIsNotTakenForWhole guards against a node that forgets versions that it has
// acknowledged, since the file of its archive is cut short.
func TestCutArchiveIsNotTakenForWhole(t *testing.T) {
	folder := t.TempDir()
	archive := configuration.NewFileArchive(folder)
	saved := configuration.Update{Version: 7, Complete: true, Objects: []configuration.Object{{Key: configuration.Key{Kind: configuration.KindModel, Name: "m"}, Version: 7, Body: []byte(`{"context_tokens":1000}`)}}}
	assert.NilError(t, archive.Save(saved))
	loaded, err := archive.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, saved)
	files, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	path := filepath.Join(folder, files[0].Name())
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for length := range len(whole) {
		assert.NilError(t, os.WriteFile(path, whole[:length], 0o600))
		loaded, err := archive.Load()
		assert.Assert(t, err != nil, "%d of %d bytes: %v", length, len(whole), loaded)
	}
}
