package document_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/document"
)

const (
	root = "../.."
	// promises is how many promises the page of proofs must have.
	promises  = 10
	notProved = "not proved"
)

func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(content)
}

func TestLinksLeadSomewhere(t *testing.T) {
	pages, err := document.Pages(root)
	assert.NilError(t, err)
	links := 0
	for _, page := range pages {
		for _, link := range document.Links(read(t, page)) {
			links++
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
			assert.NilError(t, err, "link in %s", page)
		}
	}
	assert.Assert(t, links > 5, "found only %d links", links)
}

// TestArchitectureNamesThePackages compares the table of packages with those
// that exist.
func TestArchitectureNamesThePackages(t *testing.T) {
	packages, err := document.Packages(root)
	assert.NilError(t, err)
	const packageColumn = 1
	named := document.Column(read(t, filepath.Join(root, "docs", "ARCHITECTURE.md")), packageColumn)
	slices.Sort(named)
	assert.DeepEqual(t, named, packages)
}

// TestWalkNamesWhatExists holds each function that the walk through the code and the
// page of decisions name to the file that they name for it.
func TestWalkNamesWhatExists(t *testing.T) {
	for page, least := range map[string]int{"ARCHITECTURE.md": 15, "design/decisions.md": 25} {
		landmarks := document.Landmarks(read(t, filepath.Join(root, "docs", page)))
		assert.Assert(t, len(landmarks) >= least, "found only %d functions in %s", len(landmarks), page)
		for _, landmark := range landmarks {
			code := read(t, filepath.Join(root, landmark.File))
			declared := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + landmark.Function + `\(`)
			assert.Assert(t, declared.MatchString(code), "%s: %s declares no %s", page, landmark.File, landmark.Function)
		}
	}
}

// TestProofsNameTests makes sure that a promise is called proved only where a
// test of that name exists.
func TestProofsNameTests(t *testing.T) {
	page := read(t, filepath.Join(root, "docs", "PROOFS.md"))
	proofs := document.Proofs(page)
	assert.Equal(t, len(proofs), promises)
	for i, proof := range proofs {
		assert.Equal(t, proof.Number, strconv.Itoa(i+1))
		row := page[strings.Index(page, proof.Promise):]
		row, _, _ = strings.Cut(row, "\n")
		assert.Assert(t, len(proof.Tests) > 0 || strings.Contains(row, notProved), "promise %s names no test", proof.Number)
		for _, name := range proof.Tests {
			assert.Assert(t, declares(t, name), "promise %s: %s has no %s", proof.Number, name.Folder, name.Function)
		}
	}
}

// TestEveryNamedTestExists holds for the whole page, also below the promises.
func TestEveryNamedTestExists(t *testing.T) {
	names := document.TestNames(read(t, filepath.Join(root, "docs", "PROOFS.md")))
	assert.Assert(t, len(names) > 30, "found only %d names", len(names))
	for _, name := range names {
		assert.Assert(t, declares(t, name), "%s has no %s", name.Folder, name.Function)
	}
}

// declares reports whether a test file of the folder declares the function.
func declares(t *testing.T, name document.TestName) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, name.Folder, "*_test.go"))
	assert.NilError(t, err)
	for _, file := range files {
		if strings.Contains(read(t, file), "\nfunc "+name.Function+"(") {
			return true
		}
	}
	return false
}

func TestReadingPages(t *testing.T) {
	assert.DeepEqual(t, document.Links("[a](b.md#c) [d](https://e) [f](#g) ![h](i.png)"), []string{"b.md", "i.png"})
	rows := "| no. | p | f | test | s | f |\n| ---: | - | - | - | - | - |\n" +
		"| 1 | Order. | – | `test/order.TestOrder`, `state/program.FuzzOrder` | – | – |\n| 2 | Rest. | – | not proved | – | – |\n"
	assert.DeepEqual(t, document.Proofs(rows), []document.Proof{
		{Number: "1", Promise: "Order.", Tests: []document.TestName{
			{Folder: "test/order", Function: "TestOrder"},
			{Folder: "state/program", Function: "FuzzOrder"},
		}},
		{Number: "2", Promise: "Rest."},
	})
}
