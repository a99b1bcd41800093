package golden_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/marblering/marblering/settings"
)

const deployFolder = "../../deploy"

// gaps are what the platform fills the gaps of the templates with. A section of such a
// name is kept.
var gaps = map[string]string{
	"node_name":                "edge-1",
	"zone":                     "zone-1",
	"ip":                       "10.1.0.40",
	"data_dir":                 "/data/storage-1",
	"listen.frontend":          "10.1.0.38:8149",
	"listen.ready":             "10.1.0.38:8141",
	"listen.control":           "10.1.0.40:7380",
	"port_range.1":             "7395",
	"platform.address":         "10.200.1.7:8142",
	"limits.memory_mb":         "284",
	"fault_tolerance.machines": "1",
	"bounds.config_apply_ms":   "2000",
	"bounds.contact_ms":        "3000",
	"bounds.grace_s":           "8",
	"bounds.strict_revoke":     "true",
	"bounds.revoke_ms":         "2500",
	"bounds.quota_window_s":    "5",
	"bounds.quota_over":        "0.1",
	"bounds.quota_slack":       "20",
}

// seeds are the entries of the list of that name.
var seeds = []string{"10.1.0.40:7380", "10.2.0.41:7380"}

// TestDeployFiles holds the keys and gaps of each file; its comments may change.
func TestDeployFiles(t *testing.T) {
	for _, name := range []string{"system.toml", "gateway.yaml", "storage.yaml"} {
		golden.Assert(t, withoutComments(read(t, name)), "deploy-"+name+".golden")
	}
}

// TestDeployFilesLoad holds what each daemon reads from its template once the platform
// has filled it.
func TestDeployFilesLoad(t *testing.T) {
	gateway, err := settings.LoadGateway(filledFile(t, "gateway.yaml"), nil)
	assert.NilError(t, err)
	golden.Assert(t, loadedForm(gateway), "loaded-gateway.golden")

	storage, err := settings.LoadStorage(filledFile(t, "storage.yaml"), nil)
	assert.NilError(t, err)
	golden.Assert(t, loadedForm(storage), "loaded-storage.golden")
}

// loadedForm writes one field a line.
func loadedForm(loaded any) string {
	text := fmt.Sprintf("%+v", loaded)
	text = strings.Trim(text, "{}")
	return regexp.MustCompile(` (\w+:)`).ReplaceAllString(text, "\n$1") + "\n"
}

// filledFile writes the template as the platform fills it and returns its path.
func filledFile(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(fill(t, read(t, name))), 0o600))
	return path
}

// fill writes out the list of seeds, the sections, and the gaps.
func fill(t *testing.T, template string) string {
	t.Helper()
	list := regexp.MustCompile(`{{#seeds}}.*{{/seeds}}`)
	template = list.ReplaceAllString(template, `"`+strings.Join(seeds, `","`)+`"`)
	section := regexp.MustCompile(`{{[#/]([a-z_.]+)}}`)
	template = section.ReplaceAllString(template, "")
	for name, value := range gaps {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	assert.Assert(t, !strings.Contains(template, "{{"), "a gap is unknown:\n%s", template)
	return template
}

func withoutComments(content string) string {
	var kept strings.Builder
	for line := range strings.Lines(content) {
		if !strings.HasPrefix(line, "#") {
			kept.WriteString(line)
		}
	}
	return kept.String()
}

func read(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(deployFolder, name))
	assert.NilError(t, err)
	return string(content)
}
