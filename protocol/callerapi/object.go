package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/marblering/marblering/state/result"
)

// object reads the members of one JSON object by their exact names. Unlike
// encoding/json it refuses duplicate names, doesn't fold case and names the field
// in its errors. Reads don't return errors: err holds the first one.
//
// The body is checked and compacted once. The objects and values in it are slices
// of its memory, which split.go finds: on a body of 15,798 bytes this took 203 µs,
// where decoding each level with encoding/json took 971 µs (one trial on a loaded
// machine, docs/design/caller-api.md).
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
	var compact bytes.Buffer
	compact.Grow(len(body))
	if err := json.Compact(&compact, body); err != nil {
		return nil, syntaxError(body, err)
	}
	return parseObject("", compact.Bytes())
}

// syntaxError says where the body is broken, which json.Compact doesn't.
func syntaxError(body []byte, cause error) error {
	var whole json.RawMessage
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(body, &whole), &syntax) {
		return result.Errorf(result.BadRequest, "body: broken JSON at byte %d: %v", syntax.Offset, syntax)
	}
	return result.Errorf(result.BadRequest, "body: broken JSON: %v", cause)
}

// parseObject reads an object of the compacted body.
func parseObject(path string, raw json.RawMessage) (*object, error) {
	o := &object{path: path, members: make(map[string]json.RawMessage)}
	if kindOf(raw) != kindObject {
		return nil, result.Errorf(result.BadRequest, "%s: an object is wanted, found %s", o.name(), kindOf(raw))
	}
	for quoted, value := range splitObject(raw) {
		var name string
		if err := json.Unmarshal(quoted, &name); err != nil {
			return nil, result.Errorf(result.BadRequest, "%s: member name %.40s: %v", o.name(), quoted, err)
		}
		if _, duplicate := o.members[name]; duplicate {
			return nil, result.Errorf(result.BadRequest, "%s: given twice", o.field(name))
		}
		o.members[name] = value
	}
	return o, nil
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

// valueOf returns a member that must be of one of the kinds.
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

// integer reads a whole number within the bounds, both included; an absent member
// is zero.
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
	return slices.Collect(splitArray(raw)), true
}

// refuseOthers records an error for a member that isn't among the names.
func (o *object) refuseOthers(names ...string) {
	for name := range o.members {
		if !slices.Contains(names, name) {
			o.fail(name, "no such field; allowed are %v", names)
			return
		}
	}
}
