package operator

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is the type of a column or field.
type Kind string

// Kinds of values.
const (
	KindText     Kind = "text"
	KindInteger  Kind = "integer"
	KindNumber   Kind = "number"
	KindBoolean  Kind = "boolean"
	KindDuration Kind = "duration"
	KindList     Kind = "list"
)

// Value is one cell of a row. Its kind says which field is set; a duration is in
// integer, in nanoseconds. In JSON a duration is a text such as "1m30s".
type Value struct {
	kind    Kind
	text    string
	integer int64
	number  float64
	flag    bool
	list    []string
}

// Text makes a text value.
func Text(text string) Value { return Value{kind: KindText, text: text} }

// Integer makes an integer value.
func Integer[T ~int | ~int64 | ~uint32 | ~uint64](number T) Value {
	return Value{kind: KindInteger, integer: int64(number)}
}

// Boolean makes a boolean value.
func Boolean(flag bool) Value { return Value{kind: KindBoolean, flag: flag} }

// Duration makes a duration value.
func Duration(duration time.Duration) Value {
	return Value{kind: KindDuration, integer: int64(duration)}
}

// List makes a list of texts.
func List(texts []string) Value { return Value{kind: KindList, list: texts} }

// String is the value as a table shows it.
func (v Value) String() string {
	switch v.kind {
	case KindInteger:
		return strconv.FormatInt(v.integer, 10)
	case KindNumber:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case KindBoolean:
		return strconv.FormatBool(v.flag)
	case KindDuration:
		return time.Duration(v.integer).String()
	case KindList:
		return strings.Join(v.list, ",")
	default:
		return v.text
	}
}

// MarshalJSON writes the value in the JSON type nearest to its kind.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case KindInteger:
		return json.Marshal(v.integer)
	case KindNumber:
		return json.Marshal(v.number)
	case KindBoolean:
		return json.Marshal(v.flag)
	case KindList:
		if v.list == nil {
			return []byte("[]"), nil
		}
		return json.Marshal(v.list)
	default:
		return json.Marshal(v.String())
	}
}

// valueFromJSON reads what MarshalJSON wrote.
func valueFromJSON(kind Kind, data json.RawMessage) (Value, error) {
	value := Value{kind: kind}
	var err error
	switch kind {
	case KindInteger:
		err = json.Unmarshal(data, &value.integer)
	case KindNumber:
		err = json.Unmarshal(data, &value.number)
	case KindBoolean:
		err = json.Unmarshal(data, &value.flag)
	case KindList:
		err = json.Unmarshal(data, &value.list)
	case KindDuration:
		return durationFromJSON(data)
	default:
		err = json.Unmarshal(data, &value.text)
	}
	return value, err
}

func durationFromJSON(data json.RawMessage) (Value, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return Value{}, err
	}
	return parseValue(KindDuration, text)
}

// parseValue reads a constant of the language.
func parseValue(kind Kind, text string) (Value, error) {
	value := Value{kind: kind, text: text}
	var err error
	switch kind {
	case KindInteger:
		value.integer, err = strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 10, 64)
		return value, wrongValue(err, text, "a whole number such as 42 or 1_000_000")
	case KindNumber:
		value.number, err = strconv.ParseFloat(text, 64)
		return value, wrongValue(err, text, "a number such as 0.5")
	case KindBoolean:
		value.flag, err = strconv.ParseBool(text)
		return value, wrongValue(err, text, "true or false")
	case KindDuration:
		var duration time.Duration
		duration, err = time.ParseDuration(text)
		value.integer = int64(duration)
		return value, wrongValue(err, text, "a duration such as 250ms, 30s or 10m")
	case KindList:
		value.list = []string{text}
	}
	return value, nil
}

// wrongValue says which values are allowed, unless there is no error.
func wrongValue(err error, text, allowed string) error {
	if err == nil {
		return nil
	}
	return merry.Errorf("%q isn't allowed here; allowed: %s", text, allowed)
}

// compare orders two values of one kind.
func (v Value) compare(other Value) int {
	switch v.kind {
	case KindInteger, KindDuration:
		return cmp.Compare(v.integer, other.integer)
	case KindNumber:
		return cmp.Compare(v.number, other.number)
	case KindBoolean:
		return cmp.Compare(asInteger(v.flag), asInteger(other.flag))
	case KindList:
		return slices.Compare(v.list, other.list)
	default:
		return cmp.Compare(v.text, other.text)
	}
}

func asInteger(flag bool) int {
	if flag {
		return 1
	}
	return 0
}

// like reports whether the text, or any text of a list, matches the pattern, in
// which % stands for any characters and _ for one.
func (v Value) like(pattern string) bool {
	if v.kind == KindList {
		return slices.ContainsFunc(v.list, func(text string) bool { return matches([]rune(pattern), []rune(text)) })
	}
	return matches([]rune(pattern), []rune(v.String()))
}

// matches tells whether the text matches the pattern. Where the rest doesn't fit
// it goes back to the last %, so that its time is bounded by the product of the
// lengths.
func matches(pattern, text []rune) bool {
	position, star, mark := 0, -1, 0
	for index := 0; index < len(text); {
		switch {
		case position < len(pattern) && pattern[position] == '%':
			star, mark = position, index
			position++
		case position < len(pattern) && (pattern[position] == '_' || pattern[position] == text[index]):
			position++
			index++
		case star >= 0:
			mark++
			position, index = star+1, mark
		default:
			return false
		}
	}
	for position < len(pattern) && pattern[position] == '%' {
		position++
	}
	return position == len(pattern)
}
