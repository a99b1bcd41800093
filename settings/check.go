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

// failureHeartbeats is the least number of heartbeats that a peer may miss
// before it counts as failed: one lost packet must not be a failure.
const failureHeartbeats = 2

func (l *loader) check(loaded Settings) error {
	if err := l.checkFields(loaded); err != nil {
		return err
	}
	return l.checkPairs(loaded)
}

// checkFields applies the validate tags and reports the first field that fails.
func (l *loader) checkFields(loaded Settings) error {
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

func (l *loader) fieldFault(failure validator.FieldError) error {
	option := optionOf(failure.Field())
	if failure.Tag() == "required" {
		return l.fault(option, "missing")
	}
	return l.fault(option, describe(failure.Value())+" isn't allowed")
}

func optionOf(key string) Option {
	for _, option := range Options() {
		if option.Key == key {
			return option
		}
	}
	return Option{Key: key}
}

func newValidator() (*validator.Validate, error) {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("koanf")
	})
	checks := map[string]validator.Func{
		"name":          validName(),
		"base_url":      validBaseURL,
		"absolute_path": validAbsolutePath,
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
