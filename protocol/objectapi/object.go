package objectapi

import "encoding/json"

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the store at which the object was last written.
	Version uint64 `json:"version"`
	// Revision is the same, or that of the removal of a removed object.
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// List has objects as they were at one revision of the store.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

// Event is one change of the store, or a bookmark.
type Event struct {
	Revision uint64 `json:"revision"`
	// Object is nil in a bookmark, which says that every change up to the
	// revision has been sent.
	Object *Object `json:"object"`
	// Deleted is set where the object was removed.
	Deleted bool `json:"deleted"`
}

// States of machines.
const (
	MachineLive = "live"
	// MachineLeaving: the platform is about to take the machine away.
	MachineLeaving = "leaving"
)

// Machine is one entry of the platform's list of machines.
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
