package imports_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/imports"
)

// root is the module's folder, seen from this package.
const root = "../.."

func TestAllowed(t *testing.T) {
	cases := []struct {
		from, to string
		inTest   bool
		want     bool
	}{
		{"coordination/execution", "state/program", false, true},
		{"coordination/execution", "coordination/routing", false, true},
		{"state/program", "coordination/execution", false, false},
		{"state/program", "coordination/execution", true, false},
		{"coordination/register", "protocol/engineapi", false, false},
		{"coordination/register", "transport/peer", false, false},
		{"protocol/callerapi", "transport/peer", false, false},
		{"transport/peer", "node", false, false},
		{"node", "transport/peer", false, true},
		{"node", "settings", false, true},
		{"cmd/marblering", "telemetry", false, true},
		{"coordination/shard", "settings", false, false},
		{"protocol/operator", "telemetry", false, false},
		{"settings", "telemetry", false, false},
		{"settings", "state/program", false, false},
		{"state/result", "state/program", false, false},
		{"state/program", "state/result", false, true},
		{"protocol/engineapi", "lab/engine", false, false},
		{"protocol/engineapi", "lab/engine", true, true},
		{"node", "test/harness", false, false},
		{"cmd/marblering", "lab/engine", false, false},
		{"cmd/marblering-lab", "lab/engine", false, true},
		{"lab/engine", "node", false, true},
		{"node", "platform", false, false},
		{"transport/relay", "platform", false, false},
		{"platform", "node/gateway", false, true},
		{"cmd/marblering", "platform", false, true},
		{"stateless", "state/result", false, false},
		{"node", "apiary", false, false},
	}
	for _, c := range cases {
		assert.Equal(t, imports.Allowed(c.from, c.to, c.inTest), c.want, "%s -> %s", c.from, c.to)
	}
}

// TestEveryPackage holds every import within the module to the rules. It reads
// the files itself: a result that the Go tool caches then depends on them.
func TestEveryPackage(t *testing.T) {
	edges := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if filepath.Ext(path) == ".go" {
			edges += checkFile(t, path)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, edges > 5, "found only %d imports", edges)
}

// checkFile reports the forbidden imports of one file and returns how many
// imports are of the module.
func checkFile(t *testing.T, path string) int {
	t.Helper()
	source, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	from, err := filepath.Rel(root, filepath.Dir(path))
	assert.NilError(t, err)
	inTest := strings.HasSuffix(path, "_test.go")
	own := 0
	for _, imported := range source.Imports {
		quoted, err := strconv.Unquote(imported.Path.Value)
		assert.NilError(t, err)
		to, isOwn := strings.CutPrefix(quoted, imports.Module+"/")
		if !isOwn {
			continue
		}
		own++
		if !imports.Allowed(filepath.ToSlash(from), to, inTest) {
			t.Errorf("%s must not import %s", path, to)
		}
	}
	return own
}
