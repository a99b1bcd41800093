package settings_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/settings"
)

const validSettings = `
name: node-1
zone: hall-a
peer_listen: 127.0.0.1:7100
caller_listen: 127.0.0.1:7200
operator_listen: 127.0.0.1:7300
object_api: http://127.0.0.1:7000
`

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func parseFlags(t *testing.T, arguments ...string) *pflag.FlagSet {
	t.Helper()
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	settings.AddFlags(flags)
	assert.NilError(t, flags.Parse(arguments))
	return flags
}

func TestLoadAppliesDefaults(t *testing.T) {
	loaded, err := settings.Load(writeFile(t, validSettings), nil)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Name, "node-1")
	assert.Equal(t, loaded.PeerAddress(), netip.MustParseAddrPort("127.0.0.1:7100"))
	assert.Equal(t, loaded.ReplicationFactor, 3)
	assert.Equal(t, loaded.RequestSizeLimit, 8*settings.Mebibyte)
	assert.Equal(t, loaded.CallTimeout, 10*time.Minute)
}

func TestFlagsOverrideFile(t *testing.T) {
	flags := parseFlags(t, "--zone=hall-b", "--shards=8", "--seeds=127.0.0.1:1,[::1]:2", "--peer-timeout=750ms")
	loaded, err := settings.Load(writeFile(t, validSettings+"shards: 16\nseeds: [127.0.0.9:9]\n"), flags)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Zone, "hall-b")
	assert.Equal(t, loaded.Shards, 8)
	assert.Equal(t, loaded.PeerTimeout, 750*time.Millisecond)
	assert.Equal(t, len(loaded.Seeds), 2)
	assert.Equal(t, loaded.Seeds[1], netip.MustParseAddrPort("[::1]:2"))
}

func TestLoadFromFlagsOnly(t *testing.T) {
	flags := parseFlags(t, "--name=n", "--zone=z", "--peer-listen=127.0.0.1:0", "--caller-listen=127.0.0.1:0",
		"--operator-listen=127.0.0.1:0", "--object-api=http://127.0.0.1:7000")
	loaded, err := settings.Load("", flags)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Name, "n")
}

// TestInvalidSettings loads files with one invalid setting each. The error must name the
// source, the key, the problem and the allowed values.
func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name    string
		extra   string
		key     string
		problem string
	}{
		{"unknown key", "zoen: hall-a", "zoen", "unknown key"},
		{"nested key", "data_folder:\n  path: /x", "data_folder.path", "unknown key"},
		{"host name", "seeds: [hall-a:7100]", "seeds", `"hall-a:7100" isn't an IP number and port`},
		{"host name in the URL", "object_api: http://store:7000", "object_api", `"http://store:7000" isn't allowed`},
		{"URL with a path", "object_api: http://127.0.0.1:7000/api", "object_api", `"http://127.0.0.1:7000/api" isn't allowed`},
		{"URL without a port", "object_api: http://127.0.0.1", "object_api", `"http://127.0.0.1" isn't allowed`},
		{"no port", "peer_listen: 127.0.0.1", "peer_listen", `"127.0.0.1" isn't an IP number and port`},
		{"seed with port 0", "seeds: ['127.0.0.1:0']", "seeds", `"127.0.0.1:0" has port 0`},
		{"duplicate seed", "seeds: ['127.0.0.1:1', '127.0.0.1:1']", "seeds", "[127.0.0.1:1 127.0.0.1:1] isn't allowed"},
		{"seeds not a list", "seeds: 127.0.0.1:1", "seeds", `"127.0.0.1:1" isn't a list`},
		{"number without unit", "call_timeout: 30", "call_timeout", "30 isn't text"},
		{"text without unit", "call_timeout: '30'", "call_timeout", `"30" isn't a duration with a unit`},
		{"unknown duration unit", "call_timeout: 1d", "call_timeout", `"1d" isn't a duration with a unit`},
		{"negative duration", "call_timeout: -5s", "call_timeout", "-5s isn't allowed"},
		{"duration too long", "call_timeout: 25h", "call_timeout", "25h0m0s isn't allowed"},
		{"size without unit", "request_size_limit: 1024", "request_size_limit", "1024 isn't text"},
		{"decimal size unit", "request_size_limit: 8MB", "request_size_limit", `"8MB" isn't a size with a unit`},
		{"duration as size", "request_size_limit: 8s", "request_size_limit", `"8s" isn't a size with a unit`},
		{"size beyond 64 bits", "request_size_limit: 9223372036854775807GiB", "request_size_limit", `"9223372036854775807GiB" is too large`},
		{"size too small", "request_size_limit: 1B", "request_size_limit", "1B isn't allowed"},
		{"even replication", "replication_factor: 2", "replication_factor", "2 isn't allowed"},
		{"fraction", "shards: 1.5", "shards", "1.5 isn't a whole number"},
		{"no shards", "shards: 0", "shards", "0 isn't allowed"},
		{"empty value", "zone:", "zone", "an empty value isn't text"},
		{"empty text", "zone: ''", "zone", "missing"},
		{"upper case", "zone: Hall", "zone", `"Hall" isn't allowed`},
		{"relative path", "data_folder: data", "data_folder", `"data" isn't allowed`},
		{"unknown level", "log_level: verbose", "log_level", `"verbose" isn't allowed`},
		{"listeners conflict", "caller_listen: 127.0.0.1:7100", "caller_listen", "127.0.0.1:7100 conflicts with peer_listen, which is 127.0.0.1:7100"},
		{"wildcard listener conflicts", "operator_listen: 0.0.0.0:7100", "operator_listen", "0.0.0.0:7100 conflicts with peer_listen, which is 127.0.0.1:7100"},
		{"unreachable peer address", "peer_listen: 0.0.0.0:7100", "peer_advertise", "missing, while peer_listen is 0.0.0.0:7100, which peers can't reach"},
		{"advertised wildcard", "peer_advertise: '[::]:7100'", "peer_advertise", "peers can't reach [::]:7100"},
		{"failure timeout too short", "heartbeat_interval: 3s", "failure_timeout", "5s is less than twice heartbeat_interval, which is 3s"},
		{"drain shorter than calls", "drain_timeout: 1m", "drain_timeout", "1m0s is less than call_timeout, which is 10m0s"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, replaceKeys(validSettings, c.extra))
			_, err := settings.Load(path, nil)
			var settingsErr *settings.Error
			assert.Assert(t, errors.As(err, &settingsErr), "got %v", err)
			assert.Equal(t, settingsErr.Source, path)
			assert.Equal(t, settingsErr.Key, c.key)
			assert.Equal(t, settingsErr.Problem, c.problem)
			assert.Assert(t, settingsErr.Allowed != "")
		})
	}
}

func TestRequiredOptions(t *testing.T) {
	for _, option := range settings.Options() {
		_, err := settings.Load(writeFile(t, replaceKeys(validSettings, option.Key+":")), nil)
		assert.ErrorContains(t, err, option.Key+": an empty value")

		_, err = settings.Load(writeFile(t, removeKey(validSettings, option.Key)), nil)
		if option.Required {
			assert.ErrorContains(t, err, option.Key+": missing")
			continue
		}
		assert.NilError(t, err)
	}
}

func TestUnreadableFile(t *testing.T) {
	cases := map[string]string{
		"broken YAML":   "name: [",
		"not a mapping": "- name",
		"duplicate key": "name: a\nname: b",
		"two documents": validSettings + "---\nname: other\n",
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Load(writeFile(t, content), nil)
			var settingsErr *settings.Error
			assert.Assert(t, errors.As(err, &settingsErr), "got %v", err)
			assert.Equal(t, settingsErr.Key, "")
		})
	}
	_, err := settings.Load(filepath.Join(t.TempDir(), "absent.yaml"), nil)
	assert.ErrorContains(t, err, "no such file")
}

func TestErrorNamesFlag(t *testing.T) {
	_, err := settings.Load(writeFile(t, validSettings), parseFlags(t, "--peer-listen=hall-a:1"))
	assert.Error(t, err, `flag --peer-listen: peer_listen: "hall-a:1" isn't an IP number and port`+
		` (allowed: IP number and port such as 10.0.0.5:7100 or [fd00::5]:7100, no host name)`)
}

// replaceKeys removes the line of the key that extra sets from the content and appends
// extra.
func replaceKeys(content, extra string) string {
	key, _, _ := strings.Cut(extra, ":")
	return removeKey(content, key) + extra + "\n"
}

func removeKey(content, key string) string {
	kept := make([]string, 0)
	for line := range strings.Lines(content) {
		if !strings.HasPrefix(line, key+":") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}
