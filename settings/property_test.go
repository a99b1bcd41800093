package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/marblering/marblering/settings"
)

// seed makes the property searches give the same verdict every time.
const seed = "20260"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestArbitraryValue puts arbitrary text under any key. Load either takes it or
// gives one line that names the key, or a key that contradicts it.
func TestArbitraryValue(t *testing.T) {
	folder := t.TempDir()
	keys := make([]string, 0)
	for _, option := range settings.Options() {
		keys = append(keys, option.Key)
	}
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SampledFrom(keys).Draw(t, "key")
		value := rapid.OneOf(
			rapid.String(),
			rapid.StringMatching(`-?[0-9]{1,20}(ms|s|m|h|d|B|KiB|MiB|GiB|)`),
			rapid.StringMatching(`(http://)?[0-9.:a-f\[\]]{1,20}:[0-9]{1,6}(/|)`),
		).Draw(t, "value")
		line, err := yaml.Marshal(map[string]string{key: value})
		assert.NilError(t, err)
		path := filepath.Join(folder, "node.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(withoutKey(complete, key)+string(line)), 0o600))

		loaded, err := settings.Load(path, nil)
		if err == nil {
			return
		}
		assert.Equal(t, loaded.Name, "", "settings came with an error")
		var fault *settings.Error
		assert.Assert(t, errors.As(err, &fault), "%v", err)
		assert.Equal(t, fault.Source, path)
		assert.Assert(t, fault.Allowed != "")
		assert.Assert(t, !strings.ContainsAny(err.Error(), "\n\r"), "%q", err.Error())
		assert.Assert(t, fault.Key == key || strings.Contains(fault.Problem, key), "%v", err)
	})
}

// FuzzLoad reads arbitrary files: never a panic, and settings or an error.
func FuzzLoad(f *testing.F) {
	f.Add(complete)
	f.Add("name: [")
	f.Add("a: &a [*a]")
	f.Add("1: 2\n? [x]\n: y")
	f.Add("seeds: {}\nname: !!binary aGk=\n---\n")
	f.Add("name: " + strings.Repeat("[", 100))
	f.Fuzz(func(t *testing.T, content string) {
		path := filepath.Join(t.TempDir(), "node.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		loaded, err := settings.Load(path, nil)
		if err == nil {
			assert.Assert(t, loaded.Name != "" && loaded.PeerAddress().IsValid())
			return
		}
		var fault *settings.Error
		assert.Assert(t, errors.As(err, &fault), "%v", err)
		assert.Assert(t, !strings.ContainsAny(err.Error(), "\n\r"), "%q", err.Error())
	})
}

func TestByteSizeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := settings.ByteSize(rapid.Int64Min(0).Draw(t, "size"))
		parsed, err := settings.ParseByteSize(size.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, size)
	})
}
