package document

import (
	"go/ast"
	"regexp"
	"slices"
)

// readers are the calls that read from their argument until it ends, or until a line or message
// does.
var readers = map[string]bool{
	"io.ReadAll": true, "http.ReadResponse": true, "http.ReadRequest": true, "json.NewDecoder": true, "bufio.NewScanner": true,
}

// Readers returns the calls of the product that read until their source ends, as "file call",
// sorted.
func Readers(root string) ([]string, error) {
	var found []string
	err := eachProductFile(root, func(path string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if call, isReader := readerCall(node); isReader {
				found = append(found, path+" "+call)
			}
			return true
		})
	})
	slices.Sort(found)
	return found, err
}

// readerCall returns the name of a reader, with its package.
func readerCall(node ast.Node) (call string, isReader bool) {
	selector, isSelector := node.(*ast.SelectorExpr)
	if !isSelector {
		return "", false
	}
	name, isName := selector.X.(*ast.Ident)
	if !isName {
		return "", false
	}
	call = name.Name + "." + selector.Sel.Name
	return call, readers[call]
}

var readerRow = regexp.MustCompile("(?m)^\\| `([^`]+\\.go)` \\| `([^`]+)` \\| [^|]+ \\|")

// DocumentedReaders returns the calls that the table of the page has with their bound, as "file
// call", sorted.
func DocumentedReaders(page string) []string {
	var found []string
	for _, row := range readerRow.FindAllStringSubmatch(page, -1) {
		found = append(found, row[1]+" "+row[2])
	}
	slices.Sort(found)
	return found
}
