package operator_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/protocol/operator"
)

// TestMain fixes rapid's seed, so that every run has the same verdict; flags on
// the command line come later and win.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// referencePage is the operators' page; its examples stand in blocks that are
// marked as of the language.
const referencePage = "../../docs/operations/operator-language.md"

func referenceExamples(t testing.TB) []string {
	page, err := os.ReadFile(filepath.FromSlash(referencePage))
	assert.NilError(t, err)
	var examples []string
	for _, block := range regexp.MustCompile("(?s)```marblering\n(.*?)```").FindAllStringSubmatch(string(page), -1) {
		for line := range strings.Lines(block[1]) {
			examples = append(examples, strings.TrimSpace(line))
		}
	}
	return examples
}

// Every example of the page must pass all checks but those against the objects
// that exist.
func TestEveryExampleOfThePageIsValid(t *testing.T) {
	examples := referenceExamples(t)
	for _, example := range examples {
		_, err := run(newInterpreter(newBackend()), example)
		var fault *operator.SyntaxError
		assert.Assert(t, !errors.As(err, &fault), "%s: %v", example, err)
	}
	var used []string
	for _, example := range examples {
		used = append(used, strings.Fields(example)[0])
	}
	for _, statement := range operator.StatementNames() {
		assert.Assert(t, strings.Contains(" "+strings.Join(used, " ")+" ", " "+statement+" "), "the page has no example of %q", statement)
	}
}

// The page lists every table with all its columns and every command's fields.
func TestThePageNamesAllColumnsAndFields(t *testing.T) {
	page, err := os.ReadFile(filepath.FromSlash(referencePage))
	assert.NilError(t, err)
	for _, line := range operator.ReferenceLines() {
		assert.Assert(t, strings.Contains(string(page), line), "the page lacks the line %q", line)
	}
}

// FuzzParse checks that no text crashes the parser, and that each fault lies in
// the text.
func FuzzParse(f *testing.F) {
	for _, example := range referenceExamples(f) {
		f.Add(example)
	}
	for _, text := range []string{
		"", " ", ";", "'", `"`, `"\`, "((((", "not not not", "engines where", "engines where (a = 1", "a\x00b",
		"engines where zone = 'é\xff'", "drain engine e1 expect version 99999999999999999999", "add engine \"\" models ,",
		"engines where a = 1 or", "add tenant t weight NaN", "explain call /", "set weights latency 1e999 expect version 1",
	} {
		f.Add(text)
	}
	interpreter := newInterpreter(newBackend())
	f.Fuzz(func(t *testing.T, text string) {
		_, err := run(interpreter, text)
		var fault *operator.SyntaxError
		if !errors.As(err, &fault) {
			return
		}
		assert.Assert(t, fault.Problem != "")
		assert.Assert(t, fault.Column >= 1 && fault.Column <= utf8.RuneCountInString(fault.Text)+1, "%q column %d", text, fault.Column)
		assert.Equal(t, strings.Count(fault.Caret(), "\n"), 1)
	})
}

// quotedText draws texts that need quotes.
func quotedText() *rapid.Generator[string] {
	return rapid.StringMatching(`[a-z %_"\\'<=,;()é]{0,12}`)
}

func quote(text string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(text) + `"`
}

// Any text can be written in quotes and comes back as it was.
func TestQuotesKeepTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := quotedText().Draw(t, "text")
		statement, err := operator.NewParser().Parse("programs where tenant = " + quote(text))
		assert.NilError(t, err)
		assert.Equal(t, statement.Query.Where.Alternatives[0].Terms[0].Comparison.Value.Text, text)
	})
}

// like agrees with the regular expression that means the same.
func TestLikeAgreesWithRegularExpressions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pattern := rapid.StringMatching(`[ab%_]{0,8}`).Draw(t, "pattern")
		text := rapid.StringMatching(`[ab]{0,8}`).Draw(t, "text")
		b := newBackend()
		b.programs = []operator.ProgramRow{{ID: "p", Model: text}}
		answer, err := run(newInterpreter(b), "programs where model like "+quote(pattern))
		assert.NilError(t, err)
		expression := "^" + strings.NewReplacer("%", ".*", "_", ".").Replace(pattern) + "$"
		matched, err := regexp.MatchString(expression, text)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Table.Rows) == 1, matched, "%q like %q", text, pattern)
	})
}
