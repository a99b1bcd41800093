package operator

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/marblering/marblering/state/result"
)

const (
	// maxTextBytes bounds a statement.
	maxTextBytes = 16 << 10
	// shownTextBytes is how much of a longer one an error shows.
	shownTextBytes = 40
)

// SyntaxError is a statement that can't be understood. It unwraps to a
// *result.Error.
type SyntaxError struct {
	// Text is the statement on one line.
	Text string
	// Column is the place in characters, from 1. It is one past the end where
	// something is missing there.
	Column int
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error names the column and the problem.
func (e *SyntaxError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the *result.Error that the operator is told.
func (e *SyntaxError) Unwrap() error {
	return result.Errorf(result.SyntaxError, "column %d: %s", e.Column, e.Problem)
}

// Caret shows the text with a mark below the column.
func (e *SyntaxError) Caret() string {
	return e.Text + "\n" + strings.Repeat(" ", e.Column-1) + "^"
}

// Parser turns text into statements. It is safe for concurrent use.
type Parser struct {
	parser *participle.Parser[Statement]
}

// NewParser builds the parser.
func NewParser() *Parser { return &Parser{parser: newParser()} }

// Parse reads one statement; its errors are of type *SyntaxError.
func (p *Parser) Parse(text string) (*Statement, error) {
	line := oneLine(text)
	if len(line) > maxTextBytes {
		return nil, &SyntaxError{Text: line[:shownTextBytes] + " …", Column: 1, Problem: fmt.Sprintf("the statement has %d bytes; allowed: %d", len(line), maxTextBytes)}
	}
	if strings.TrimSpace(line) == "" {
		return nil, &SyntaxError{Column: 1, Problem: "the statement is empty; allowed: a query, explain or a command"}
	}
	statement, err := p.parser.ParseString("", line)
	if err != nil {
		return nil, asSyntaxError(line, err)
	}
	return statement, nil
}

// oneLine puts a text on one line, so that columns count over the whole of it.
func oneLine(text string) string {
	text = strings.ToValidUTF8(text, "\uFFFD")
	return strings.NewReplacer("\r\n", " ", "\n", " ", "\r", " ", "\t", " ").Replace(text)
}

func asSyntaxError(line string, err error) *SyntaxError {
	var located participle.Error
	if !errors.As(err, &located) {
		return &SyntaxError{Text: line, Column: 1, Problem: err.Error()}
	}
	problem := located.Message()
	if strings.HasPrefix(problem, "lexer:") {
		problem = "a quote isn't closed"
	}
	problem = strings.Replace(problem, `unexpected token "<EOF>"`, "the statement ends too early", 1)
	return &SyntaxError{Text: line, Column: columnOf(line, located.Position()), Problem: problem}
}

func columnOf(line string, position lexer.Position) int {
	offset := min(max(position.Offset, 0), len(line))
	return utf8.RuneCountInString(line[:offset]) + 1
}

// faultAt reports what is wrong with the word.
func faultAt(text string, word *Word, format string, arguments ...any) error {
	line := oneLine(text)
	return &SyntaxError{
		Text:    line,
		Column:  columnOf(line, word.Pos),
		Problem: fmt.Sprintf(format, arguments...),
	}
}
