package follow

import (
	"cmp"
	"slices"
	"time"
)

// Object is an object of the store.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change.
	Revision int64
	// Spec is the encoded content.
	Spec []byte
	// Status is the encoded status; empty if none was reported.
	Status []byte
}

// Snapshot holds all objects of one kind at one revision of the store.
type Snapshot struct {
	Objects []Object
	// At is the revision of the store.
	At int64
	// Unnamed counts the objects that were left out because they have no name.
	Unnamed int `json:"-"`
	// Age is the time since the store's answer when the snapshot was received from
	// another node; zero for a direct answer of the store.
	Age time.Duration `json:"-"`
	// FreshAt is a time before which the store had nothing newer, by this node's
	// monotonic clock; zero if no such time is known.
	FreshAt time.Time `json:"-"`
}

// Event is the change of one object.
type Event struct {
	Object Object
	// Deleted is set if the object was deleted.
	Deleted bool
}

// Changes holds the events between two revisions.
type Changes struct {
	Events []Event
	// At is the revision to watch from next.
	At int64
	// Unnamed counts the events that were left out because their objects have no
	// name.
	Unnamed int
	// IsFull is set if the events list all existing objects, so that any other object
	// was deleted.
	IsFull bool
	// Age and FreshAt have the same meaning as in Snapshot.
	Age     time.Duration
	FreshAt time.Time
}

// view is the copy of the objects at one revision, which never decreases. It isn't safe
// for concurrent use.
type view struct {
	objects     map[string]Object
	revision    int64
	initialized bool
}

// replace sets the view to the snapshot and reports whether it did. A snapshot older than
// the view, such as a delayed response, is ignored.
func (v *view) replace(snapshot Snapshot) bool {
	if v.initialized && snapshot.At < v.revision {
		return false
	}
	v.objects = make(map[string]Object, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		v.objects[object.Name] = object
	}
	v.revision = snapshot.At
	v.initialized = true
	return true
}

// applyChanges updates the view and reports whether any object changed.
func (v *view) applyChanges(changes Changes) bool {
	if changes.IsFull {
		return !v.confirmUnchanged(changes) && v.replace(changes.Snapshot())
	}
	changed := false
	for _, event := range changes.Events {
		changed = v.applyEvent(event) || changed
	}
	v.revision = max(v.revision, changes.At)
	return changed
}

// confirmUnchanged reports whether whole changes match the view, and advances its revision
// if so.
func (v *view) confirmUnchanged(changes Changes) bool {
	if !v.initialized || len(changes.Events) != len(v.objects) {
		return false
	}
	for _, event := range changes.Events {
		known, exists := v.objects[event.Object.Name]
		if !exists || known.Revision != event.Object.Revision {
			return false
		}
	}
	v.revision = max(v.revision, changes.At)
	return true
}

// Snapshot converts whole changes to a snapshot.
func (c Changes) Snapshot() Snapshot {
	snapshot := Snapshot{At: c.At, Age: c.Age, FreshAt: c.FreshAt, Objects: make([]Object, 0, len(c.Events))}
	for _, event := range c.Events {
		snapshot.Objects = append(snapshot.Objects, event.Object)
	}
	return snapshot
}

// Changes converts the snapshot to whole changes.
func (s Snapshot) Changes() Changes {
	changes := Changes{At: s.At, IsFull: true, Age: s.Age, FreshAt: s.FreshAt}
	for _, object := range s.Objects {
		changes.Events = append(changes.Events, Event{Object: object})
	}
	return changes
}

// Apply returns the snapshot with the changes since its revision, sorted by name.
func (s Snapshot) Apply(changes Changes) Snapshot {
	var v view
	v.replace(s)
	v.applyChanges(changes)
	applied := v.snapshot()
	applied.Unnamed, applied.Age, applied.FreshAt = s.Unnamed, s.Age, s.FreshAt
	return applied
}

// applyEvent applies one event, unless it is older than the known object, and reports
// whether the object changed.
func (v *view) applyEvent(event Event) bool {
	known, exists := v.objects[event.Object.Name]
	if exists && event.Object.Revision < known.Revision {
		return false
	}
	if event.Deleted {
		delete(v.objects, event.Object.Name)
		return exists
	}
	if exists && event.Object.Revision == known.Revision {
		return false
	}
	v.objects[event.Object.Name] = event.Object
	return true
}

// snapshot returns a copy of the view, sorted by name.
func (v *view) snapshot() Snapshot {
	objects := make([]Object, 0, len(v.objects))
	for _, object := range v.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return Snapshot{Objects: objects, At: v.revision}
}
