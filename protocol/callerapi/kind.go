package callerapi

import (
	"encoding/json"
	"strings"
)

// kind is the type of a JSON value (RFC 8259, section 3) as errors name it, with
// its article.
type kind string

const (
	kindNull    kind = "null"
	kindBoolean kind = "a boolean"
	kindNumber  kind = "a number"
	kindString  kind = "a string"
	kindArray   kind = "an array"
	kindObject  kind = "an object"
)

// kindOf returns the kind of a value, which must be valid JSON without white
// space around it.
func kindOf(raw json.RawMessage) kind {
	switch raw[0] {
	case '{':
		return kindObject
	case '[':
		return kindArray
	case '"':
		return kindString
	case 't', 'f':
		return kindBoolean
	case 'n':
		return kindNull
	default:
		return kindNumber
	}
}

func oneOf(kinds []kind) string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, " or ")
}
