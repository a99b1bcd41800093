package document

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// LogMessages returns the messages that the product's code below the root logs,
// sorted, each once. A message is the first argument, a string, of a method named
// after a level.
func LogMessages(root string) ([]string, error) {
	messages := make(map[string]bool)
	err := eachProductFile(root, func(_ string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if message, found := logMessage(node); found {
				messages[message] = true
			}
			return true
		})
	})
	return slices.Sorted(maps.Keys(messages)), err
}

// eachProductFile visits the parsed Go files of the product below the root, with their paths
// from there.
func eachProductFile(root string, visit func(path string, file *ast.File)) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && isBesideProduct(root, path) {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		visit(filepath.ToSlash(relative), file)
		return nil
	})
}

// isBesideProduct tells the folders whose code isn't part of a daemon.
func isBesideProduct(root, path string) bool {
	relative, err := filepath.Rel(root, path)
	return err == nil && slices.Contains([]string{".git", "lab", "test", "api"}, relative)
}

// logMessage returns the message of a call of a logger.
func logMessage(node ast.Node) (message string, found bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return "", false
	}
	text, isText := call.Args[0].(*ast.BasicLit)
	if !isText || text.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(text.Value)
	return message, err == nil
}

// DocumentedMessages returns the messages that the rows of the page name in their
// first column, sorted.
func DocumentedMessages(page string) []string {
	var messages []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(page, -1) {
		messages = append(messages, match[1])
	}
	slices.Sort(messages)
	return messages
}
