package follow

import (
	"cmp"
	"slices"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision int64
	// Spec is the object's content, undecoded.
	Spec []byte
	// Status is what was reported of it, undecoded; empty for nothing.
	Status []byte
}

// Snapshot is every object of one kind at one revision of the store.
type Snapshot struct {
	Objects []Object
	// At is the revision of the store.
	At int64
	// Unreadable is how many further objects there are that have no name to know them by.
	Unreadable int `json:"-"`
	// Age is how long ago the store had said so when the snapshot was handed out; zero
	// where the store itself was asked.
	Age time.Duration `json:"-"`
	// Proved is a moment before which the store had nothing newer, by this node's
	// steady clock; zero where nothing shows such a moment.
	Proved time.Time `json:"-"`
}

// Event is one change.
type Event struct {
	Object Object
	// Gone tells that the object was removed.
	Gone bool
}

// Changes are the events between two revisions.
type Changes struct {
	Events []Event
	// At is the revision from which to go on.
	At int64
	// Unreadable is how many further changes there are, of objects that have no name to
	// know them by.
	Unreadable int
	// IsWhole tells that the events are all objects that there are: what isn't
	// among them is gone.
	IsWhole bool
	// Age is how long ago the store had said so; zero where the store itself was asked.
	Age time.Duration
	// Proved is a moment as in Snapshot.
	Proved time.Time
}

// view is the copy of the objects at one revision. It has no threads and no I/O, and never
// goes back.
type view struct {
	objects     map[string]Object
	revision    int64
	initialized bool
}

// replace takes a snapshot in and tells whether it did. One that is older than what is
// known, such as an answer that was held up on its way, is refused.
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

// applyChanges takes changes in and tells whether any object differs from before.
func (v *view) applyChanges(changes Changes) bool {
	if changes.IsWhole {
		return !v.confirmUnchanged(changes) && v.replace(changes.Snapshot())
	}
	changed := false
	for _, event := range changes.Events {
		changed = v.applyEvent(event) || changed
	}
	v.revision = max(v.revision, changes.At)
	return changed
}

// confirmUnchanged tells whether whole changes say nothing new, and notes their revision if so.
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

// Snapshot returns what changes that are whole say.
func (c Changes) Snapshot() Snapshot {
	snapshot := Snapshot{At: c.At, Age: c.Age, Proved: c.Proved, Objects: make([]Object, 0, len(c.Events))}
	for _, event := range c.Events {
		snapshot.Objects = append(snapshot.Objects, event.Object)
	}
	return snapshot
}

// Changes returns the snapshot as changes that are whole.
func (s Snapshot) Changes() Changes {
	changes := Changes{At: s.At, IsWhole: true, Age: s.Age, Proved: s.Proved}
	for _, object := range s.Objects {
		changes.Events = append(changes.Events, Event{Object: object})
	}
	return changes
}

// applyEvent takes one event in, unless it is older than what is known of the object, and
// tells whether the object differs from before.
func (v *view) applyEvent(event Event) bool {
	known, exists := v.objects[event.Object.Name]
	if exists && event.Object.Revision < known.Revision {
		return false
	}
	if event.Gone {
		delete(v.objects, event.Object.Name)
		return exists
	}
	if exists && event.Object.Revision == known.Revision {
		return false
	}
	v.objects[event.Object.Name] = event.Object
	return true
}

// snapshot copies the view, in the order of names.
func (v *view) snapshot() Snapshot {
	objects := make([]Object, 0, len(v.objects))
	for _, object := range v.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return Snapshot{Objects: objects, At: v.revision}
}
