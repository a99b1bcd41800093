package objectstore

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
)

// Object is one stored object. Version and Revision are the store-wide
// revision of its last write.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// Event is one line of a watch. An event without an object is a bookmark: it
// only tells that everything up to the revision has been sent.
type Event struct {
	Revision uint64  `json:"revision"`
	Object   *Object `json:"object,omitempty"`
	Deleted  bool    `json:"deleted,omitempty"`
}

// List is a set of objects at one revision.
type List struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
}

type key struct {
	kind string
	name string
}

// condition is what a write requires of the current object.
type condition struct {
	// absent requires that there is no object; version is unused then.
	absent  bool
	version uint64
}

type outcome int

const (
	written outcome = iota
	conflict
	missing
)

// store holds the objects and the log of the latest changes.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[key]Object
	// log holds the changes after the compacted revision, oldest first.
	log       []Event
	compacted uint64
	logLimit  int
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newStore(logLimit int) *store {
	return &store{
		objects:  make(map[key]Object),
		logLimit: logLimit,
		changed:  make(chan struct{}),
	}
}

func (s *store) get(wanted key) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[wanted]
	return object, found
}

// list returns the objects of one kind, or all where kind is empty, ordered by
// kind and name.
func (s *store) list(kind string) List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := make([]Object, 0, len(s.objects))
	for at, object := range s.objects {
		if kind == "" || at.kind == kind {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return List{Revision: s.revision, Items: items}
}

// put writes the object where the condition holds. It returns the object now
// stored.
func (s *store) put(at key, wanted condition, body json.RawMessage) (Object, outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, result := s.check(at, wanted)
	if result != written {
		return current, result
	}
	s.revision++
	object := Object{Kind: at.kind, Name: at.name, Version: s.revision, Revision: s.revision, Body: body}
	s.objects[at] = object
	s.append(Event{Revision: s.revision, Object: &object})
	return object, written
}

// remove deletes the object where the condition holds. It returns the deleted
// object with the revision of the deletion.
func (s *store) remove(at key, wanted condition) (Object, outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, result := s.check(at, wanted)
	if result != written {
		return object, result
	}
	s.revision++
	object.Revision = s.revision
	delete(s.objects, at)
	s.append(Event{Revision: s.revision, Object: &object, Deleted: true})
	return object, written
}

func (s *store) check(at key, wanted condition) (Object, outcome) {
	current, found := s.objects[at]
	switch {
	case wanted.absent && found:
		return current, conflict
	case wanted.absent:
		return current, written
	case !found:
		return current, missing
	case current.Version != wanted.version:
		return current, conflict
	}
	return current, written
}

func (s *store) append(event Event) {
	s.log = append(s.log, event)
	if surplus := len(s.log) - s.logLimit; surplus > 0 {
		s.compacted = s.log[surplus-1].Revision
		s.log = slices.Clone(s.log[surplus:])
	}
	s.signal()
}

// signal wakes every watcher; the caller holds the mutex.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets the whole log: a watch from an older revision is too old.
func (s *store) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	s.log = nil
	s.signal()
}

// wake lets every watcher look at the switches again.
func (s *store) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.signal()
}

// changes is what a watcher has to send next.
type changes struct {
	events   []Event
	revision uint64
	// more is closed at the next change.
	more chan struct{}
	// gone tells that the log doesn't reach back to the revision asked for.
	gone bool
}

// since returns the events after the revision.
func (s *store) since(revision uint64) changes {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := changes{revision: s.revision, more: s.changed}
	result.gone = revision < s.compacted || revision > s.revision
	if result.gone {
		return result
	}
	first, _ := slices.BinarySearchFunc(s.log, revision+1, func(event Event, wanted uint64) int {
		return cmp.Compare(event.Revision, wanted)
	})
	result.events = s.log[first:len(s.log):len(s.log)]
	return result
}
