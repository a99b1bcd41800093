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

// failureHeartbeats is the least number of heartbeats in a failure timeout: one lost
// packet must not be a failure.
const failureHeartbeats = 2

// checkFields applies the validate tags and reports the first field that fails.
func (l *loader[T]) checkFields(loaded T) error {
	validate, err := newValidator()
	if err != nil {
		return &Error{Source: l.path, Problem: err.Error()}
	}
	err = validate.Struct(loaded)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return l.fieldFault(failures[0])
	}
	if err != nil {
		return &Error{Source: l.path, Problem: err.Error()}
	}
	return nil
}

// fieldFault makes the error of a field that failed a check.
func (l *loader[T]) fieldFault(failure validator.FieldError) error {
	option := l.option(failure.Field())
	if failure.Tag() == "required" {
		return l.fault(option, "missing")
	}
	return l.fault(option, describe(failure.Value())+" isn't allowed")
}

// option returns the option of the key.
func (l *loader[T]) option(key string) OptionOf[T] {
	for _, option := range l.options {
		if option.Key == key {
			return option
		}
	}
	return OptionOf[T]{Key: key}
}

// newValidator makes a validator that knows the checks of this package and names fields
// by their keys.
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

// validName accepts a DNS label (RFC 1123 section 2.1) in lower case.
func validName() validator.Func {
	label := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	return func(field validator.FieldLevel) bool {
		return label.MatchString(field.Field().String())
	}
}

// validBaseURL accepts http with an IP number and port, and nothing after these.
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

// validURLPath accepts a path without characters that a URL would escape.
func validURLPath(field validator.FieldLevel) bool {
	text := field.Field().String()
	parsed, err := url.Parse(text)
	return err == nil && text != "" && text[0] == '/' && *parsed == url.URL{Path: text}
}
