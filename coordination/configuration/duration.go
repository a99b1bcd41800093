package configuration

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a time.Duration that is written with its unit in JSON, such as
// "250ms". A bare number is refused.
type Duration time.Duration

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errDuration(string(data))
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errDuration(text)
	}
	*d = Duration(value)
	return nil
}

func errDuration(text string) error {
	return merry.Errorf("%s isn't a duration; allowed: a number with a unit in quotes, such as \"250ms\", \"30s\" or \"10m\"", text)
}
