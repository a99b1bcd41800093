package objectapi

import "encoding/json"

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at which the object was last written.
	Version uint64 `json:"version"`
	// Revision equals Version, or is the revision of the removal if the object was
	// removed.
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// List holds objects as they were at one revision of the store.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

// Event is one change in the store, or a bookmark.
type Event struct {
	Revision uint64 `json:"revision"`
	// Object is nil in a bookmark, which means that every change up to the
	// revision has been sent.
	Object *Object `json:"object"`
	// Deleted is true if the object was removed.
	Deleted bool `json:"deleted"`
}

// States of machines.
const (
	MachineLive = "live"
	// MachineLeaving means that the platform is about to remove the machine.
	MachineLeaving = "leaving"
)

// Machine is one entry of the platform's list of machines.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Condition is the precondition of a write on the stored object.
type Condition struct {
	absent  bool
	version uint64
}

// IfAbsent requires that the object doesn't exist.
func IfAbsent() Condition { return Condition{absent: true} }

// IfVersion requires that the object exists at the given version.
func IfVersion(version uint64) Condition { return Condition{version: version} }

// ConditionFor returns IfAbsent for version 0 and IfVersion otherwise.
func ConditionFor(version uint64) Condition {
	if version == 0 {
		return IfAbsent()
	}
	return IfVersion(version)
}
