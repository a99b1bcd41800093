package callerapi

import (
	"bytes"
	"encoding/json"
	"iter"
)

// The functions here cut JSON into its parts without copying. They rely on
// json.Compact having accepted and compacted it: there is no white space between
// tokens, and every string and bracket is closed.

// splitObject yields the quoted names and the values of an object's members.
func splitObject(object json.RawMessage) iter.Seq2[json.RawMessage, json.RawMessage] {
	return func(yield func(name, value json.RawMessage) bool) {
		for next := 1; object[next] != '}'; {
			nameEnd := stringEnd(object, next)
			name := object[next:nameEnd:nameEnd]
			valueStart := nameEnd + len(":")
			valueEnd := valueEnd(object, valueStart)
			if !yield(name, object[valueStart:valueEnd:valueEnd]) {
				return
			}
			next = skipComma(object, valueEnd)
		}
	}
}

// splitArray yields the elements of an array.
func splitArray(array json.RawMessage) iter.Seq[json.RawMessage] {
	return func(yield func(element json.RawMessage) bool) {
		for next := 1; array[next] != ']'; {
			end := valueEnd(array, next)
			if !yield(array[next:end:end]) {
				return
			}
			next = skipComma(array, end)
		}
	}
}

func skipComma(raw json.RawMessage, next int) int {
	if raw[next] == ',' {
		return next + 1
	}
	return next
}

// valueEnd returns the index after the value that starts at the index.
func valueEnd(raw json.RawMessage, start int) int {
	switch raw[start] {
	case '"':
		return stringEnd(raw, start)
	case '{', '[':
		return nestedEnd(raw, start)
	default: // a number or a literal
		length := bytes.IndexAny(raw[start:], ",]}")
		return start + length
	}
}

// nestedEnd returns the index after the object or array.
func nestedEnd(raw json.RawMessage, start int) int {
	depth := 0
	for next := start; ; {
		switch raw[next] {
		case '"':
			next = stringEnd(raw, next)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		next++
		if depth == 0 {
			return next
		}
	}
}

// stringEnd returns the index after the string's closing quote: the first one
// that an even number of backslashes precedes.
func stringEnd(raw json.RawMessage, start int) int {
	next := start + 1
	for {
		quote := next + bytes.IndexByte(raw[next:], '"')
		content := raw[start+1 : quote]
		backslashes := len(content) - len(bytes.TrimRight(content, `\`))
		next = quote + 1
		if backslashes%2 == 0 {
			return next
		}
	}
}
