package settings

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"
)

// strictYAML is a koanf.Parser that rejects files with more than one document. The parser
// of koanf silently ignores all but the first.
type strictYAML struct{}

// Unmarshal parses a single YAML document; an empty file yields an empty map.
func (strictYAML) Unmarshal(content []byte) (map[string]any, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var values map[string]any
	err := decoder.Decode(&values)
	if errors.Is(err, io.EOF) {
		return map[string]any{}, nil
	}
	if err != nil {
		return nil, err
	}
	var rest any
	if err := decoder.Decode(&rest); !errors.Is(err, io.EOF) {
		return nil, merry.New("more than one YAML document")
	}
	return values, nil
}

// Marshal encodes the values as YAML.
func (strictYAML) Marshal(values map[string]any) ([]byte, error) {
	return yaml.Marshal(values)
}
