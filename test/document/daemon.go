package document

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Imports maps each package of the module, by its folder, to those that it imports
// outside its tests.
type Imports map[string][]string

// daemons are the letters of the daemons in the table of packages, and the packages
// that build them.
var daemons = []struct{ letter, builder string }{
	{"G", "node/gateway"}, {"S", "node/storage"}, {"N", "node"},
}

// ReadImports reads the imports of all packages below the root of the module.
func ReadImports(root, module string) (Imports, error) {
	found := make(Imports)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			if own, isOwn := strings.CutPrefix(name, module+"/"); isOwn {
				found[filepath.ToSlash(folder)] = append(found[filepath.ToSlash(folder)], own)
			}
		}
		return nil
	})
	return found, err
}

// Daemons returns the letters of the daemons that link the package; "–" for none.
func (i Imports) Daemons(folder string) string {
	letters := ""
	for _, daemon := range daemons {
		if daemon.builder == folder || slices.Contains(i.linked(daemon.builder), folder) {
			letters += daemon.letter
		}
	}
	if letters == "" {
		return "–"
	}
	return letters
}

// linked returns the packages that the package imports, and all that these import.
func (i Imports) linked(folder string) []string {
	var reached []string
	open := []string{folder}
	for len(open) > 0 {
		next := open[0]
		open = open[1:]
		for _, imported := range i[next] {
			if !slices.Contains(reached, imported) {
				reached = append(reached, imported)
				open = append(open, imported)
			}
		}
	}
	return reached
}

// PackageDaemons returns the cells of the table of packages that say which daemons link
// a package, by package.
func PackageDaemons(page string) map[string]string {
	cells := make(map[string]string)
	for _, match := range regexp.MustCompile("(?m)^\\| \\w+ \\| `([^`]+)` \\| ([GSN]+|–) \\|").FindAllStringSubmatch(page, -1) {
		cells[match[1]] = match[2]
	}
	return cells
}
