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

// settingsTable renders the options as the documentation must have them.
func settingsTable[T any](options []settings.OptionOf[T]) string {
	var table strings.Builder
	table.WriteString("| key | default | allowed | for |\n| --- | --- | --- | --- |\n")
	for _, option := range options {
		fallback := "none"
		switch {
		case option.Required:
			fallback = "required"
		case option.Default != "":
			fallback = "`" + option.Default + "`"
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s |\n", option.Key, fallback, option.Allowed, option.Usage)
	}
	return table.String()
}

func TestDocumentHoldsTheSettings(t *testing.T) {
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

// TestExampleFile checks the example as it stands and with its commented keys
// in force; these show the defaults, apart from the data folder.
func TestExampleFile(t *testing.T) {
	loaded, err := settings.Load(examplePath, nil)
	assert.NilError(t, err)
	content, err := os.ReadFile(examplePath)
	assert.NilError(t, err)
	full, shown := uncommentKeys(string(content))
	assert.Assert(t, shown > 0)
	spelledOut, err := settings.Load(writeFile(t, full), nil)
	assert.NilError(t, err)
	assert.Equal(t, spelledOut.DataFolder, "/var/lib/marblering")
	spelledOut.DataFolder = ""
	assert.Assert(t, reflect.DeepEqual(spelledOut, loaded), "got %+v, want %+v", spelledOut, loaded)
	for _, option := range settings.Options() {
		assert.Assert(t, strings.Contains(full, "\n"+option.Key+":") || option.Key == "peer_advertise", option.Key)
	}
}

// uncommentKeys puts the commented keys in force and returns how many.
func uncommentKeys(content string) (string, int) {
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
