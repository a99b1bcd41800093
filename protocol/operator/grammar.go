package operator

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one parsed line; exactly one field is set.
type Statement struct {
	Explain *Explain `parser:"(  @@"`
	Command *Command `parser:" | @@"`
	Query   *Query   `parser:" | @@ ) ';'?"`
}

// Query asks for rows of a table.
type Query struct {
	Table *Word      `parser:"(?! 'explain' | 'add' | 'set' | 'drain' | 'undrain' | 'reshape' | 'stop' | 'start' | 'remove' ) @@"`
	Where *Condition `parser:"( 'where' @@ )?"`
	Order []*Order   `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit *Word      `parser:"( 'limit' @@ )?"`
}

// Order is one column to sort by.
type Order struct {
	Column     *Word `parser:"@@"`
	Descending bool  `parser:"( @'desc' | 'asc' )?"`
}

// Condition holds where any of its alternatives does.
type Condition struct {
	Alternatives []*Conjunction `parser:"@@ ( 'or' @@ )*"`
}

// Conjunction holds where all its terms do.
type Conjunction struct {
	Terms []*Term `parser:"@@ ( 'and' @@ )*"`
}

// Term is a negation, a condition in parentheses or a comparison.
type Term struct {
	Not        *Term       `parser:"  'not' @@"`
	Group      *Condition  `parser:"| '(' @@ ')'"`
	Comparison *Comparison `parser:"| @@"`
}

// Comparison compares a column with a constant.
type Comparison struct {
	Column   *Word  `parser:"@@"`
	Operator string `parser:"@( Operator | 'like' )"`
	Value    *Word  `parser:"@@"`
}

// Explain asks why something runs where it does.
type Explain struct {
	Program *Word `parser:"'explain' ( 'program' @@"`
	Call    *Word `parser:"          | 'call' @@ )"`
}

// Command changes something.
type Command struct {
	Verb    string   `parser:"@( 'add' | 'set' | 'drain' | 'undrain' | 'reshape' | 'stop' | 'start' | 'remove' )"`
	Subject *Subject `parser:"@@"`
	Fields  []*Field `parser:"@@*"`
	Guards  []*Guard `parser:"@@*"`
}

// Subject is what a command is about. The one object of weights and limits has
// no name.
type Subject struct {
	Singleton *Word `parser:"  ( (?= 'weights' | 'limits') @@ )"`
	Kind      *Word `parser:"| @@"`
	Name      *Word `parser:"  @@"`
}

// Field is one field of an object with its values.
type Field struct {
	Name   *Word   `parser:"(?! 'expect' | 'command' ) @@"`
	Values []*Word `parser:"@@ ( ',' @@ )*"`
}

// Guard makes a command safe: the version that the object must have, or the id by
// which a repeat is recognised.
type Guard struct {
	Version *Word `parser:"  'expect' 'version' @@"`
	ID      *Word `parser:"| 'command' 'id' @@"`
}

// Word is a name, a number or a text in quotes.
type Word struct {
	Pos lexer.Position
	// Text is without the quotes.
	Text string `parser:"@( Word | Text )"`
}

// Tokens that the rest of the program names.
const (
	tokenWord = "Word"
	tokenText = "Text"
)

var language = lexer.MustSimple([]lexer.SimpleRule{
	{Name: tokenText, Pattern: `"(\\.|[^"\\\n])*"|'[^'\n]*'`},
	{Name: "Operator", Pattern: `<=|>=|!=|=|<|>`},
	{Name: "Punctuation", Pattern: `[(),;]`},
	{Name: tokenWord, Pattern: `[^\s"'=<>!(),;]+`},
	{Name: "Whitespace", Pattern: `\s+`},
})

func newParser() *participle.Parser[Statement] {
	return participle.MustBuild[Statement](
		participle.Lexer(language),
		participle.Elide("Whitespace"),
		participle.CaseInsensitive(tokenWord),
		participle.Map(unquote, tokenText),
		participle.UseLookahead(2),
	)
}

// unquote takes the quotes off a text. In double quotes a backslash escapes a quote
// or another backslash; in single quotes nothing is escaped.
func unquote(token lexer.Token) (lexer.Token, error) {
	inner := token.Value[1 : len(token.Value)-1]
	if token.Value[0] == '"' {
		inner = unescape(inner)
	}
	token.Value = inner
	return token, nil
}

func unescape(text string) string {
	var result strings.Builder
	escaped := false
	for _, character := range text {
		if character == '\\' && !escaped {
			escaped = true
			continue
		}
		escaped = false
		result.WriteRune(character)
	}
	return result.String()
}
