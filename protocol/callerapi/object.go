package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/marblering/marblering/state/result"
)

// object reads the members of one JSON object by their exact names. Unlike
// encoding/json it refuses duplicate names and doesn't fold case, and its
// errors name the field. The first error sticks and makes the later reads
// return zero values; err tells it.
type object struct {
	// path names the object in errors; empty for the body itself.
	path    string
	members map[string]json.RawMessage
	err     error
}

// parseBody reads a request body, which must be one JSON object.
func parseBody(body []byte) (*object, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return nil, result.Errorf(result.BadRequest, "the body is empty; a JSON object is wanted")
	}
	if !utf8.Valid(body) {
		return nil, result.Errorf(result.BadRequest, "the body isn't valid UTF-8")
	}
	return parseObject("", body)
}

// parseObject reads one JSON object with nothing after it.
func parseObject(path string, raw []byte) (*object, error) {
	o := &object{path: path, members: make(map[string]json.RawMessage)}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	opening, err := decoder.Token()
	if err != nil {
		return nil, o.syntaxError(decoder, err)
	}
	if opening != json.Delim('{') {
		return nil, result.Errorf(result.BadRequest, "%s: an object is wanted, found %s", o.name(), kindOf(raw))
	}
	for decoder.More() {
		if err := o.parseMember(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, o.syntaxError(decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, result.Errorf(result.BadRequest, "%s: there is more data after the JSON object, at byte %d", o.name(), decoder.InputOffset())
	}
	return o, nil
}

func (o *object) parseMember(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return o.syntaxError(decoder, err)
	}
	name, isName := token.(string)
	if !isName {
		return result.Errorf(result.BadRequest, "%s: a member name is wanted at byte %d", o.name(), decoder.InputOffset())
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return o.syntaxError(decoder, err)
	}
	if _, duplicate := o.members[name]; duplicate {
		return result.Errorf(result.BadRequest, "%s: given twice", o.field(name))
	}
	o.members[name] = value
	return nil
}

func (o *object) syntaxError(decoder *json.Decoder, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return result.Errorf(result.BadRequest, "%s: the JSON ends too early", o.name())
	}
	return result.Errorf(result.BadRequest, "%s: broken JSON near byte %d: %v", o.name(), decoder.InputOffset(), err)
}

func (o *object) name() string {
	if o.path == "" {
		return "body"
	}
	return o.path
}

func (o *object) field(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// fail records an error about the field unless there is one already.
func (o *object) fail(name, format string, args ...any) {
	if o.err == nil {
		failure := result.Errorf(result.BadRequest, format, args...)
		failure.Message = o.field(name) + ": " + failure.Message
		o.err = failure
	}
}

// value returns a member; null counts as absent.
func (o *object) value(name string) (raw json.RawMessage, present bool) {
	raw, present = o.members[name]
	if !present || kindOf(raw) == kindNull {
		return nil, false
	}
	return raw, true
}

// valueOf returns a member of one of the kinds and fails for any other kind.
func (o *object) valueOf(name string, kinds ...kind) (raw json.RawMessage, present bool) {
	raw, present = o.value(name)
	if !present {
		return nil, false
	}
	if !slices.Contains(kinds, kindOf(raw)) {
		o.fail(name, "%s is wanted, found %s", oneOf(kinds), kindOf(raw))
		return nil, false
	}
	return raw, true
}

func (o *object) require(name string) {
	if _, present := o.value(name); !present {
		o.fail(name, "is missing")
	}
}

func (o *object) text(name string) string {
	raw, present := o.valueOf(name, kindString)
	if !present {
		return ""
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		o.fail(name, "%v", err)
	}
	return text
}

func (o *object) boolean(name string) bool {
	raw, _ := o.valueOf(name, kindBoolean)
	return string(raw) == "true"
}

// integer reads a whole number within the bounds; an absent one is zero.
func (o *object) integer(name string, least, greatest uint64) uint64 {
	raw, present := o.valueOf(name, kindNumber)
	if !present {
		return 0
	}
	number, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil || number < least || number > greatest {
		o.fail(name, "a whole number from %d to %d is wanted, found %.40s", least, greatest, raw)
		return 0
	}
	return number
}

func (o *object) array(name string) (elements []json.RawMessage, present bool) {
	raw, present := o.valueOf(name, kindArray)
	if !present {
		return nil, false
	}
	if err := json.Unmarshal(raw, &elements); err != nil {
		o.fail(name, "%v", err)
	}
	return elements, true
}

// refuseOthers fails for a member that isn't among the names.
func (o *object) refuseOthers(names ...string) {
	for name := range o.members {
		if !slices.Contains(names, name) {
			o.fail(name, "no such field; allowed are %v", names)
			return
		}
	}
}
