// Package document reads the project's pages, so that its tests can hold them
// against the code.
package document

import (
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// Pages returns the paths of all Markdown pages below the root.
func Pages(root string) ([]string, error) {
	var pages []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == ".git" {
			return filepath.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return nil
	})
	return pages, err
}

// Links returns the targets of the page's links to files, without anchors.
func Links(page string) []string {
	var links []string
	for _, match := range regexp.MustCompile(`\]\(([^)\s]+)\)`).FindAllStringSubmatch(page, -1) {
		target, _, _ := strings.Cut(match[1], "#")
		if target != "" && !strings.Contains(target, "://") {
			links = append(links, target)
		}
	}
	return links
}

// Proof is one row of the page of proofs.
type Proof struct {
	Number  string
	Promise string
	// Tests are the tests that the row names; none where it isn't proved.
	Tests []TestName
}

// TestName names a test function by its package's folder.
type TestName struct {
	Folder   string
	Function string
}

// Proofs returns the rows of the table of proofs.
func Proofs(page string) []Proof {
	var proofs []Proof
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		number := strings.TrimSpace(cells[0])
		if len(cells) != proofColumns || !regexp.MustCompile(`^\d+$`).MatchString(number) {
			continue
		}
		proofs = append(proofs, Proof{
			Number:  number,
			Promise: strings.TrimSpace(cells[1]),
			Tests:   TestNames(cells[testColumn]),
		})
	}
	return proofs
}

// Columns of the table of proofs.
const (
	proofColumns = 6
	testColumn   = 3
)

// TestNames returns the tests that a text names, as `folder.Function`.
func TestNames(cell string) []TestName {
	var names []TestName
	for _, match := range regexp.MustCompile("`([a-z0-9/_]+)\\.((?:Test|Fuzz|Example)\\w*)`").FindAllStringSubmatch(cell, -1) {
		names = append(names, TestName{Folder: match[1], Function: match[2]})
	}
	return names
}

// Packages returns the folders below the root that have Go files, ordered, without
// the generated ones.
func Packages(root string) ([]string, error) {
	found := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		folder = filepath.ToSlash(folder)
		generated := strings.HasPrefix(folder, "api/")
		if !generated && !strings.Contains(folder, "testdata") {
			found[folder] = true
		}
		return nil
	})
	return slices.Sorted(maps.Keys(found)), err
}

// Column returns the code spans that make up whole cells of one column of the
// page's tables, counted from 0.
func Column(page string, column int) []string {
	var spans []string
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) <= column {
			continue
		}
		cell := strings.TrimSpace(cells[column])
		if match := regexp.MustCompile("^`([^`]+)`$").FindStringSubmatch(cell); match != nil {
			spans = append(spans, match[1])
		}
	}
	return spans
}

// Landmark is a function that a page names together with its file.
type Landmark struct {
	File, Function string
}

var landmarkPattern = regexp.MustCompile("`([a-z0-9/]+\\.go)`: `([A-Za-z]+)`")

// Landmarks returns the functions that the page names with their files.
func Landmarks(page string) []Landmark {
	var found []Landmark
	for _, match := range landmarkPattern.FindAllStringSubmatch(page, -1) {
		found = append(found, Landmark{File: match[1], Function: match[2]})
	}
	return found
}
