package settings

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// Error describes the first invalid or unreadable setting found.
type Error struct {
	// Source is the path of the file, "flag --name" if a flag set the value, or "flags" if
	// no file was given.
	Source string
	// Key is the invalid key; empty if the file or the flags can't be read.
	Key string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the accepted values; empty if Problem does.
	Allowed string
}

// Error formats the error as one line. Unprintable characters are escaped, since user
// input may contain line breaks or terminal escape sequences.
func (e *Error) Error() string {
	text := e.Source + ": "
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Problem
	if e.Allowed != "" {
		text += fmt.Sprintf(" (allowed: %s)", e.Allowed)
	}
	return escapeUnprintable(text)
}

// escapeUnprintable replaces unprintable characters by Go escape sequences.
func escapeUnprintable(text string) string {
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
