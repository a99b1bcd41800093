package result_test

import (
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

// Markers around the table in docs/RESULT-CODES.md.
const (
	documentPath = "../../docs/RESULT-CODES.md"
	tableStart   = "<!-- table: start -->\n"
	tableEnd     = "<!-- table: end -->\n"
)

func documentedTable(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(documentPath)
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(content), tableStart)
	assert.Assert(t, found, "%s has no %q", documentPath, tableStart)
	table, _, found := strings.Cut(rest, tableEnd)
	assert.Assert(t, found, "%s has no %q", documentPath, tableEnd)
	return table
}

// codeTable renders result.Table in the Markdown form of docs/RESULT-CODES.md.
func codeTable() string {
	var table strings.Builder
	table.WriteString("| code | name | HTTP | request was | ask again | meaning |\n")
	table.WriteString("| ---: | --- | ---: | --- | --- | --- |\n")
	for _, info := range result.Table {
		fmt.Fprintf(&table, "| %d | `%s` | %d | %s | %s | %s |\n",
			info.Code, info.Name, info.HTTP, info.Execution, info.Repeat, info.Meaning)
	}
	return table.String()
}

func TestDocumentMatchesTable(t *testing.T) {
	assert.Equal(t, documentedTable(t), codeTable())
}

// TestEveryConstantIsInTable reads the constants from the source. A code that
// is missing from the table would be reported as an internal error.
func TestEveryConstantIsInTable(t *testing.T) {
	inTable := make(map[string]bool)
	for _, info := range result.Table {
		inTable[constantName(info.Name)] = true
	}
	constants := codeConstants(t)
	assert.Equal(t, len(constants), len(result.Table))
	for _, name := range constants {
		assert.Assert(t, inTable[strings.ToLower(name)], "constant %s has no table entry of the same name", name)
	}
}

// constantName converts a name in the table to the lower-case name of its constant.
func constantName(name string) string { return strings.ReplaceAll(name, "_", "") }

// codeConstants returns the names of the constants of type Code.
func codeConstants(t *testing.T) []string {
	t.Helper()
	source, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	var names []string
	ast.Inspect(source, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		if kind, isName := spec.Type.(*ast.Ident); isName && kind.Name == "Code" {
			names = append(names, spec.Names[0].Name)
		}
		return true
	})
	return names
}

// TestTableIsConsistent checks the order, uniqueness and columns of the table.
func TestTableIsConsistent(t *testing.T) {
	names := make(map[string]bool)
	previous := -1
	for _, info := range result.Table {
		label := fmt.Sprintf("%d %s", info.Code, info.Name)
		assert.Assert(t, int(info.Code) > previous, "%s is not in ascending order", label)
		previous = int(info.Code)
		assert.Assert(t, !names[info.Name], "%s has a duplicate name", label)
		names[info.Name] = true
		assert.Assert(t, http.StatusText(info.HTTP) != "", "%s has an unknown HTTP status", label)
		assert.Assert(t, strings.HasSuffix(info.Meaning, "."), "the meaning of %s isn't a sentence", label)
		assert.Equal(t, info.Code == result.OK, info.HTTP < http.StatusBadRequest, label)
		checkRetryAdvice(t, label, info)
	}
}

// checkRetryAdvice checks that a client that follows the retry advice can't run a
// request twice.
func checkRetryAdvice(t *testing.T, label string, info result.Info) {
	t.Helper()
	switch info.Execution {
	case result.Run:
		assert.Equal(t, info.Repeat, result.RepeatNever, label)
	case result.NotRun:
		assert.Assert(t, info.Repeat != result.RepeatSameKey, label)
	case result.Unknown:
		assert.Assert(t, info.Repeat != result.RepeatNewKey, "%s: a retry with a new key could run the request twice", label)
	default:
		t.Errorf("%s: unknown execution %q", label, info.Execution)
	}
	class := info.Code / 1000
	if class == 1 || class == 2 {
		assert.Equal(t, info.Execution, result.NotRun, label)
	}
	if class == 2 {
		assert.Equal(t, info.Repeat, result.RepeatNewKey, label)
	}
}

func TestUnregisteredCodeIsInternal(t *testing.T) {
	assert.Equal(t, result.Code(9999).Info().Code, result.Internal)
}

func TestFromErrorHidesUnexpectedText(t *testing.T) {
	refused := result.Errorf(result.TenantLimit, "40 calls")
	unresolved := result.Errorf(result.CommandUnresolved, "ask again")
	for _, test := range []struct {
		err  error
		want *result.Error
	}{
		{fmt.Errorf("calling: %w", refused), refused},
		{errors.Join(context.Canceled, refused), refused},
		{fmt.Errorf("calling: %w", context.Canceled), unresolved},
		{context.DeadlineExceeded, unresolved},
		{errors.New("secret"), result.Errorf(result.Internal, "a fault of this program; the log has the details")},
	} {
		assert.DeepEqual(t, result.FromError(test.err, unresolved), test.want)
	}
}

func TestAfterReturnsCopy(t *testing.T) {
	original := result.Errorf(result.Overloaded, "%d waiting", 12)
	delayed := original.WithRetryAfter(3 * time.Second)
	assert.Equal(t, original.RetryAfter, time.Duration(0))
	assert.Equal(t, delayed.RetryAfter, 3*time.Second)
	assert.Equal(t, delayed.Code, result.Overloaded)
}

func ExampleErrorf() {
	var err error = result.Errorf(result.TenantLimit, "tenant %q has 40 calls running", "night-shift").WithRetryAfter(2 * time.Second)
	var reported *result.Error
	if errors.As(err, &reported) {
		info := reported.Code.Info()
		fmt.Println(reported)
		fmt.Println(info.HTTP, info.Execution, info.Repeat, reported.RetryAfter)
	}
	// Output:
	// 2002 tenant_limit: tenant "night-shift" has 40 calls running
	// 429 not run new key, after Retry-After 2s
}
