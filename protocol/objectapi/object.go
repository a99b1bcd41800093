package objectapi

import "encoding/json"

// Object is one stored object. Version and Revision are the store-wide
// revision of its last write.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// List is a set of objects at one revision.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

// Event is one change. An event without an object is a bookmark: everything up
// to the revision has been sent.
type Event struct {
	Revision uint64  `json:"revision"`
	Object   *Object `json:"object"`
	Deleted  bool    `json:"deleted"`
}

// Machine states.
const (
	MachineLive    = "live"
	MachineLeaving = "leaving"
)

// Machine is one entry of the platform's lagging list of machines.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Condition is what a write requires of the object as it stands.
type Condition struct {
	absent  bool
	version uint64
}

// IfAbsent requires that the object doesn't exist.
func IfAbsent() Condition { return Condition{absent: true} }

// IfVersion requires that the object exists at the version.
func IfVersion(version uint64) Condition { return Condition{version: version} }

// ConditionFor is IfAbsent for version 0 and IfVersion for any other.
func ConditionFor(version uint64) Condition {
	if version == 0 {
		return IfAbsent()
	}
	return IfVersion(version)
}
