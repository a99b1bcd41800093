package document_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/document"
)

// TestPageNamesEveryLogMessage, and none that the code doesn't log.
func TestPageNamesEveryLogMessage(t *testing.T) {
	logged, err := document.LogMessages(root)
	assert.NilError(t, err)
	page := read(t, filepath.Join(root, "docs", "operations", "log-lines.md"))
	assert.DeepEqual(t, document.DocumentedMessages(page), logged)
}
