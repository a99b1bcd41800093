package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

const (
	documentPath = "../docs/OPERATIONS.md"
	examplePath  = "../docs/examples/node.yaml"
	tableStart   = "<!-- %s: start -->\n"
	tableEnd     = "<!-- %s: end -->\n"
)

// settingsTable renders the options as the Markdown table of the documentation.
func settingsTable[T any](options []settings.OptionOf[T]) string {
	var table strings.Builder
	table.WriteString("| key | default | allowed | for |\n| --- | --- | --- | --- |\n")
	for _, option := range options {
		defaultText := "none"
		switch {
		case option.Required:
			defaultText = "required"
		case option.Default != "":
			defaultText = "`" + option.Default + "`"
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s |\n", option.Key, defaultText, option.Allowed, option.Usage)
	}
	return table.String()
}

func TestDocumentationListsOptions(t *testing.T) {
	tables := map[string]string{
		"settings":         settingsTable(settings.Options()),
		"gateway settings": settingsTable(settings.GatewayOptions()),
		"storage settings": settingsTable(settings.StorageOptions()),
	}
	content, err := os.ReadFile(documentPath)
	assert.NilError(t, err)
	for name, want := range tables {
		_, rest, found := strings.Cut(string(content), fmt.Sprintf(tableStart, name))
		assert.Assert(t, found, name)
		table, _, found := strings.Cut(rest, fmt.Sprintf(tableEnd, name))
		assert.Assert(t, found, name)
		assert.Equal(t, table, want)
	}
}

// TestExampleFile guards against an example file that doesn't load or whose commented-out
// options differ from the defaults, except for the data folder.
func TestExampleFile(t *testing.T) {
	loaded, err := settings.Load(examplePath, nil)
	assert.NilError(t, err)
	content, err := os.ReadFile(examplePath)
	assert.NilError(t, err)
	full, uncommented := uncommentOptions(string(content))
	assert.Assert(t, uncommented > 0)
	explicit, err := settings.Load(writeFile(t, full), nil)
	assert.NilError(t, err)
	assert.Equal(t, explicit.DataFolder, "/var/lib/marblering")
	explicit.DataFolder = ""
	assert.Assert(t, reflect.DeepEqual(explicit, loaded), "got %+v, want %+v", explicit, loaded)
	for _, option := range settings.Options() {
		assert.Assert(t, strings.Contains(full, "\n"+option.Key+":") || option.Key == "peer_advertise", option.Key)
	}
}

// uncommentOptions enables the commented-out options and returns their number.
func uncommentOptions(content string) (string, int) {
	count := 0
	var full strings.Builder
	for line := range strings.Lines(content) {
		for _, option := range settings.Options() {
			if strings.HasPrefix(line, "# "+option.Key+":") {
				line = strings.TrimPrefix(line, "# ")
				count++
			}
		}
		full.WriteString(line)
	}
	return full.String(), count
}
