package imports_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/imports"
)

// listedPackage is what "go list -json" says about one package.
type listedPackage struct {
	ImportPath   string
	Imports      []string
	TestImports  []string
	XTestImports []string
}

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
		{"stateless", "state/result", false, false},
		{"node", "apiary", false, false},
	}
	for _, c := range cases {
		assert.Equal(t, imports.Allowed(c.from, c.to, c.inTest), c.want, "%s -> %s", c.from, c.to)
	}
}

// TestEveryPackage holds every import within the module to the rules.
func TestEveryPackage(t *testing.T) {
	packages := listPackages(t)
	assert.Assert(t, len(packages) > 5, "found only %d packages", len(packages))
	edges := 0
	for _, listed := range packages {
		edges += check(t, listed.ImportPath, listed.Imports, false)
		edges += check(t, listed.ImportPath, listed.TestImports, true)
		edges += check(t, listed.ImportPath, listed.XTestImports, true)
	}
	assert.Assert(t, edges > 5, "found only %d imports", edges)
}

func listPackages(t *testing.T) []listedPackage {
	t.Helper()
	command := exec.Command("go", "list", "-json=ImportPath,Imports,TestImports,XTestImports", imports.Module+"/...")
	var problems bytes.Buffer
	command.Stderr = &problems
	output, err := command.Output()
	assert.NilError(t, err, problems.String())
	var packages []listedPackage
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		var listed listedPackage
		err := decoder.Decode(&listed)
		if errors.Is(err, io.EOF) {
			return packages
		}
		assert.NilError(t, err)
		packages = append(packages, listed)
	}
}

// check reports the forbidden imports and returns how many are of the module.
func check(t *testing.T, from string, imported []string, inTest bool) int {
	t.Helper()
	own := 0
	for _, to := range imported {
		path, isOwn := strings.CutPrefix(to, imports.Module+"/")
		if !isOwn {
			continue
		}
		own++
		if !imports.Allowed(strings.TrimPrefix(from, imports.Module+"/"), path, inTest) {
			t.Errorf("%s must not import %s (in a test: %t)", from, to, inTest)
		}
	}
	return own
}
