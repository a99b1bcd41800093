package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// bodyField is the field of a fault that concerns the whole body.
const bodyField = "(body)"

// Decode reads and checks the body of one object by itself. The error is of
// type Faults.
func Decode(object Object) (Spec, error) {
	c := &checker{object: object}
	spec := newSpec(object.Kind)
	if spec == nil {
		c.add("kind", "%q isn't a kind; allowed: %q", object.Kind, Kinds())
		return nil, c.faults
	}
	c.name("name", object.Name)
	if object.Kind.Singleton() && object.Name != SingletonName {
		c.add("name", "%q isn't the name of the one object of this kind; allowed: %q", object.Name, SingletonName)
	}
	if err := decodeStrict(object.Body, spec); err != nil {
		c.addDecodeError(err)
		return nil, c.faults
	}
	if stated := spec.statedName(); stated != "" && stated != object.Name {
		c.add("name", "%q isn't the name of the object; allowed: %q or none", stated, object.Name)
	}
	spec.setName(object.Name)
	spec.check(c)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return spec, nil
}

// decodeStrict refuses unknown fields and text after the value.
func decodeStrict(body json.RawMessage, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is text after the JSON value")
	}
	return nil
}

func (c *checker) addDecodeError(err error) {
	var mismatch *json.UnmarshalTypeError
	// The library has no type for unknown fields, only this text.
	field, unknown := strings.CutPrefix(err.Error(), "json: unknown field ")
	switch {
	case errors.As(err, &mismatch):
		c.add(mismatch.Field, "is a JSON %s; allowed: %s", mismatch.Value, mismatch.Type)
	case unknown:
		c.add(strings.Trim(field, `"`), "isn't a field of kind %s; allowed: the fields in docs/operations/configuration.md", c.object.Kind)
	default:
		c.add(bodyField, "%v; allowed: a JSON object of kind %s", err, c.object.Kind)
	}
}
