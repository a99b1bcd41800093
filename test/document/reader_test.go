package document_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/document"
)

// TestPageNamesEveryReader guards against new code that reads from elsewhere until that ends: each
// such call has a row with its bound.
func TestPageNamesEveryReader(t *testing.T) {
	called, err := document.Readers(root)
	assert.NilError(t, err)
	page := read(t, filepath.Join(root, "docs", "design", "read-limits.md"))
	assert.DeepEqual(t, document.DocumentedReaders(page), called)
}
