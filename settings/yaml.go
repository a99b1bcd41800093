package settings

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"
)

// strictYAML is a koanf.Parser that, unlike koanf's own, refuses a file with
// more than one document: the rest would be ignored in silence.
type strictYAML struct{}

// Unmarshal reads the only document; an empty file has no keys.
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

// Marshal writes the values as YAML.
func (strictYAML) Marshal(values map[string]any) ([]byte, error) {
	return yaml.Marshal(values)
}
