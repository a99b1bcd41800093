package configuration

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with an object.
type Fault struct {
	Key
	// Version of the faulty object; 0 for one that isn't stored.
	Version uint64
	// Field is the JSON path of the field.
	Field string
	// Problem says what is wrong and what is allowed.
	Problem string
	// reference is the other object that the fault is about, if any.
	reference Key
}

// String gives "kind/name: field: problem".
func (f Fault) String() string {
	return fmt.Sprintf("%s: field %s: %s", f.Key, f.Field, f.Problem)
}

// Faults is the error that a check returns.
type Faults []Fault

// Error lists every fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for index, fault := range f {
		lines[index] = fault.String()
	}
	return strings.Join(lines, "; ")
}
