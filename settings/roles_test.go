package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

// templateValues are sample values for the placeholders of the templates in deploy/.
var templateValues = map[string]string{
	"node_name": "edge-lozenets-1", "zone": "lozenets", "ip": "10.1.0.40", "data_dir": "/data/my-storage",
	"listen.frontend": "10.1.0.38:8149", "listen.ready": "10.1.0.38:8141", "platform.address": "10.200.1.7:8142",
	"bounds.config_apply_ms": "2000", "bounds.contact_ms": "3000", "bounds.grace_s": "8", "limits.memory_mb": "284",
	"listen.control": "10.1.0.40:7380", "port_range.1": "7395", "fault_tolerance.machines": "1",
}

// seeds are sample values for the section of that name.
var seeds = []string{"10.1.0.40:7380", "10.2.0.41:7380", "10.3.0.6:7380"}

// expandSeeds repeats the section {{#seeds}}..{{/seeds}} for each seed: {{.}} is the seed,
// and {{,}} a comma except after the last one.
func expandSeeds(template string) string {
	return regexp.MustCompile(`{{#seeds}}(.*?){{/seeds}}`).ReplaceAllStringFunc(template, func(section string) string {
		entry := strings.TrimSuffix(strings.TrimPrefix(section, "{{#seeds}}"), "{{/seeds}}")
		var expanded strings.Builder
		for i, seed := range seeds {
			comma := ","
			if i == len(seeds)-1 {
				comma = ""
			}
			expanded.WriteString(strings.NewReplacer("{{.}}", seed, "{{,}}", comma).Replace(entry))
		}
		return expanded.String()
	})
}

// expandSections keeps the content of the sections {{#name}}..{{/name}} whose name is in
// values, and removes the other sections.
func expandSections(template string, values map[string]string) string {
	sections := regexp.MustCompile(`{{#([^}]*)}}(.*?){{/([^}]*)}}`)
	return sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if _, known := values[parts[1]]; !known || parts[1] != parts[3] {
			return ""
		}
		return parts[2]
	})
}

// TestTemplatesWithTenantLimits checks that the limits of key revocation and quotas come
// from the platform if it sets them, and otherwise from the defaults.
func TestTemplatesWithTenantLimits(t *testing.T) {
	without, err := settings.LoadGateway(writeFile(t, renderTemplate(t, "../deploy/gateway.yaml")), nil)
	assert.NilError(t, err)
	assert.Equal(t, without.RevokeLimit, time.Duration(0))
	bounds := map[string]string{
		"bounds.strict_revoke": "true", "bounds.revoke_ms": "4000", "bounds.quota_window_s": "6", "bounds.quota_over": "0.2",
		"bounds.quota_slack": "30",
	}
	for name, value := range bounds {
		templateValues[name] = value
	}
	t.Cleanup(func() {
		for name := range bounds {
			delete(templateValues, name)
		}
	})
	gateway, err := settings.LoadGateway(writeFile(t, renderTemplate(t, "../deploy/gateway.yaml")), nil)
	assert.NilError(t, err)
	assert.Equal(t, gateway.RevokeLimit, 4*time.Second)
	assert.Equal(t, gateway.QuotaWindow, 6*time.Second)
	assert.Equal(t, gateway.QuotaOver, 0.2)
	assert.Equal(t, gateway.QuotaSlack, 30)
	storage, err := settings.LoadStorage(writeFile(t, renderTemplate(t, "../deploy/storage.yaml")), nil)
	assert.NilError(t, err)
	assert.Equal(t, storage.RevokeLimit, 4*time.Second)
}

// renderTemplate replaces the placeholders of a template and fails on unknown ones.
func renderTemplate(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(expandSections(expandSeeds(string(content)), templateValues), func(placeholder string) string {
		value, known := templateValues[strings.Trim(placeholder, "{}")]
		assert.Assert(t, known, "%s: unknown placeholder %s", path, placeholder)
		return value
	})
}

func TestTemplates(t *testing.T) {
	gateway, err := settings.LoadGateway(writeFile(t, renderTemplate(t, "../deploy/gateway.yaml")), nil)
	assert.NilError(t, err)
	assert.Equal(t, gateway.ReadyPath, "/ready")
	assert.Equal(t, gateway.StoreURL, "http://10.200.1.7:8142")
	assert.Equal(t, len(gateway.Seeds), len(seeds))
	storage, err := settings.LoadStorage(writeFile(t, renderTemplate(t, "../deploy/storage.yaml")), nil)
	assert.NilError(t, err)
	assert.Equal(t, storage.ReplicationFactor(), 3)
	assert.Equal(t, storage.Seeds[2].String(), seeds[2])
}

// TestRolesRejectInvalidSettings loads files with one invalid setting each.
func TestRolesRejectInvalidSettings(t *testing.T) {
	gateway := renderTemplate(t, "../deploy/gateway.yaml")
	storage := renderTemplate(t, "../deploy/storage.yaml")
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "ready_path:", "raedy_path:", "raedy_path: unknown key"},
		{"revoke limit without a unit", "drain_timeout:", "revoke_limit: 5000\ndrain_timeout:", "revoke_limit: "},
		{"negative slack", "drain_timeout:", "quota_slack: -1\ndrain_timeout:", "quota_slack: "},
		{"quota overrun beyond the quota", "drain_timeout:", "quota_over: 2\ndrain_timeout:", "quota_over: "},
		{"apply limit without a unit", "apply_limit: 2000ms", "apply_limit: 2000", "apply_limit: "},
		{"store URL with a host name", "http://10.200.1.7:8142", "http://store:8142", "store_url: "},
		{"relative ready path", "ready_path: /ready", "ready_path: ready", "ready_path: "},
		{"seed without a port", "10.3.0.6:7380", "10.3.0.6", "seeds: "},
		{"memory limit too small", "memory_limit: 284MiB", "memory_limit: 1MiB", "memory_limit: "},
		{"conflicting listeners", "10.1.0.38:8141", "10.1.0.38:8149", "conflicts with caller_listen"},
	}
	for _, c := range cases {
		_, err := settings.LoadGateway(writeFile(t, strings.Replace(gateway, c.old, c.replacement, 1)), nil)
		assert.ErrorContains(t, err, c.want, c.name)
	}
	for name, change := range map[string][3]string{
		"relative folder":       {"/data/my-storage", "data", "data_folder: "},
		"losses too large":      {"losses: 1", "losses: 9", "losses: "},
		"zero shards":           {"shards: 4", "shards: 0", "shards: "},
		"conflicting listeners": {"10.1.0.40:7395", "10.1.0.40:7380", "conflicts with peer_listen"},
	} {
		_, err := settings.LoadStorage(writeFile(t, strings.Replace(storage, change[0], change[1], 1)), nil)
		assert.ErrorContains(t, err, change[2], name)
	}
}
