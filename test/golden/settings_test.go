package golden_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/settings"
)

// TestSettings holds every key of the three daemons with its type, its default and the
// values that are accepted.
func TestSettings(t *testing.T) {
	golden.Assert(t, settingsForm(t, settings.Options()), "settings-serve.golden")
	golden.Assert(t, settingsForm(t, settings.GatewayOptions()), "settings-gateway.golden")
	golden.Assert(t, settingsForm(t, settings.StorageOptions()), "settings-storage.golden")
}

// settingsForm writes one line a key.
func settingsForm[T any](t *testing.T, options []settings.OptionOf[T]) string {
	t.Helper()
	fields := fieldsByKey[T]()
	assert.Equal(t, len(fields), len(options), "a field without an option can't be set")
	var form strings.Builder
	for _, option := range options {
		field, known := fields[option.Key]
		assert.Assert(t, known, "no field has the key %s", option.Key)
		fallback := "default " + option.Default
		switch {
		case option.Required:
			fallback = "required"
		case option.Default == "":
			fallback = "optional"
		}
		fmt.Fprintf(&form, "%s: %s, %s; checks: %q; allowed: %s\n",
			option.Key, field.Type, fallback, field.Tag.Get("validate"), option.Allowed)
	}
	return form.String()
}

// fieldsByKey returns the fields of T by the keys that the file has for them.
func fieldsByKey[T any]() map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField)
	for _, field := range reflect.VisibleFields(reflect.TypeFor[T]()) {
		fields[field.Tag.Get("koanf")] = field
	}
	return fields
}
