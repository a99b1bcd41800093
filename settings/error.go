package settings

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// Error is the one fault that kept settings from being accepted.
type Error struct {
	// Source is the file, or "flag --name" where a flag gave the value.
	Source string
	// Key is the key at fault; empty where the file can't be read at all.
	Key string
	// Problem says what is wrong.
	Problem string
	// Allowed says what is accepted instead; empty where Problem says it.
	Allowed string
}

// Error gives source, key, problem and what is allowed, on one line: any of
// them may hold text of the user with line breaks or escape sequences.
func (e *Error) Error() string {
	text := e.Source + ": "
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Problem
	if e.Allowed != "" {
		text += fmt.Sprintf(" (allowed: %s)", e.Allowed)
	}
	return escapeControls(text)
}

// escapeControls writes what can't be printed as in a Go string.
func escapeControls(text string) string {
	var escaped strings.Builder
	for _, character := range text {
		if unicode.IsPrint(character) {
			escaped.WriteRune(character)
			continue
		}
		escaped.WriteString(strings.Trim(strconv.QuoteRune(character), "'"))
	}
	return escaped.String()
}
