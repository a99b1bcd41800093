package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"path/filepath"
	"reflect"
	"regexp"

	"github.com/go-playground/validator/v10"
)

// minHeartbeatsPerFailure is the minimum number of heartbeat intervals in a failure
// timeout, so that a single lost packet doesn't mark a peer as failed.
const minHeartbeatsPerFailure = 2

// checkFields validates the fields by their validate tags and returns an error for the
// first invalid one.
func (l *loader[T]) checkFields(loaded T) error {
	validate, err := newValidator()
	if err != nil {
		return &Error{Source: l.path, Problem: err.Error()}
	}
	err = validate.Struct(loaded)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return l.fieldError(failures[0])
	}
	if err != nil {
		return &Error{Source: l.path, Problem: err.Error()}
	}
	return nil
}

// fieldError converts a validation failure into an *Error.
func (l *loader[T]) fieldError(failure validator.FieldError) error {
	option := l.option(failure.Field())
	if failure.Tag() == "required" {
		return l.optionError(option, "missing")
	}
	return l.optionError(option, formatValue(failure.Value())+" isn't allowed")
}

// option returns the option with the given key.
func (l *loader[T]) option(key string) OptionOf[T] {
	for _, option := range l.options {
		if option.Key == key {
			return option
		}
	}
	return OptionOf[T]{Key: key}
}

// newValidator returns a validator with the custom checks of this package. It identifies
// fields by their keys.
func newValidator() (*validator.Validate, error) {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("koanf")
	})
	checks := map[string]validator.Func{
		"name":          validName(),
		"base_url":      validBaseURL,
		"absolute_path": validAbsolutePath,
		"url_path":      validURLPath,
	}
	for tag, check := range checks {
		if err := validate.RegisterValidation(tag, check); err != nil {
			return nil, err
		}
	}
	return validate, nil
}

// validName accepts a lower-case DNS label (RFC 1123, section 2.1).
func validName() validator.Func {
	label := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	return func(field validator.FieldLevel) bool {
		return label.MatchString(field.Field().String())
	}
}

// validBaseURL accepts an http URL that consists of an IP address and a port only.
func validBaseURL(field validator.FieldLevel) bool {
	parsed, err := url.Parse(field.Field().String())
	if err != nil {
		return false
	}
	host, err := netip.ParseAddrPort(parsed.Host)
	if err != nil || host.Port() == 0 {
		return false
	}
	base := url.URL{Scheme: "http", Host: parsed.Host}
	return *parsed == base
}

func validAbsolutePath(field validator.FieldLevel) bool {
	return filepath.IsAbs(field.Field().String())
}

// validURLPath accepts an absolute path without characters that need escaping in a URL.
func validURLPath(field validator.FieldLevel) bool {
	text := field.Field().String()
	parsed, err := url.Parse(text)
	return err == nil && text != "" && text[0] == '/' && *parsed == url.URL{Path: text}
}
