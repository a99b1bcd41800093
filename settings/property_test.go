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

// rapidSeed is the fixed seed of the property tests, which makes them reproducible.
const rapidSeed = "20260"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLoadArbitraryValue sets a key to arbitrary text. Load must accept it or return a
// one-line error that names the key, also if another key conflicts with it.
func TestLoadArbitraryValue(t *testing.T) {
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
		assert.NilError(t, os.WriteFile(path, []byte(removeKey(validSettings, key)+string(line)), 0o600))

		loaded, err := settings.Load(path, nil)
		if err == nil {
			return
		}
		assert.Equal(t, loaded.Name, "", "settings returned together with an error")
		var settingsErr *settings.Error
		assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
		assert.Equal(t, settingsErr.Source, path)
		assert.Assert(t, settingsErr.Allowed != "")
		assert.Assert(t, !strings.ContainsAny(err.Error(), "\n\r"), "%q", err.Error())
		assert.Assert(t, settingsErr.Key == key || strings.Contains(settingsErr.Problem, key), "%v", err)
	})
}

// FuzzLoad loads arbitrary files, which must yield either settings or a one-line error.
func FuzzLoad(f *testing.F) {
	f.Add(validSettings)
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
		var settingsErr *settings.Error
		assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
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
