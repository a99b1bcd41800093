package document_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/document"
	"github.com/marblering/marblering/test/imports"
)

// TestArchitectureNamesTheDaemons compares the table of packages with what each daemon
// links.
func TestArchitectureNamesTheDaemons(t *testing.T) {
	linked, err := document.ReadImports(root, imports.Module)
	assert.NilError(t, err)
	packages, err := document.Packages(root)
	assert.NilError(t, err)
	wanted := make(map[string]string)
	for _, folder := range packages {
		wanted[folder] = linked.Daemons(folder)
	}
	page := read(t, filepath.Join(root, "docs", "ARCHITECTURE.md"))
	assert.DeepEqual(t, document.PackageDaemons(page), wanted)
}
