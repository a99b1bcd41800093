// Package platformstore is a stand-in of the store that the users' platform
// runs: objects by kind and name, one revision for all, lists by pages, held
// watches, conditional writes, and the ways in which the store fails.
package platformstore

import (
	"encoding/json"
	"slices"
	"sync"
)

// Object is one stored object, in the form of the wire.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	// raw takes the place of the object in lists and watches if it is set.
	raw []byte
}

// wire returns the object as listed, with its content as it was put, valid or not.
func (o Object) wire() []byte {
	if o.raw != nil {
		return o.raw
	}
	metadata, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err)
	}
	return slices.Concat([]byte(`{"metadata":`), metadata,
		[]byte(`,"spec":`), orNull(o.Spec), []byte(`,"status":`), orNull(o.Status), []byte(`}`))
}

func orNull(content []byte) []byte {
	if content == nil {
		return []byte("null")
	}
	return content
}

// Metadata names an object and its last change.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind     string
	revision int64
	object   Object
	gone     bool
}

// data is the content, guarded by its mutex. Each change closes changed.
type data struct {
	mutex    sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	history  []change
	// forgotten is the newest revision whose change isn't in the history.
	forgotten int64
	changed   chan struct{}
}

func newData() *data {
	return &data{kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// write stores the object or, where gone is set, removes it.
func (d *data) write(kind string, object Object, gone bool) Object {
	d.revision++
	object.Metadata.Revision = d.revision
	if d.kinds[kind] == nil {
		d.kinds[kind] = make(map[string]Object)
	}
	if gone {
		delete(d.kinds[kind], object.Metadata.Name)
	} else {
		d.kinds[kind][object.Metadata.Name] = object
	}
	d.history = append(d.history, change{kind: kind, revision: d.revision, object: object, gone: gone})
	close(d.changed)
	d.changed = make(chan struct{})
	return object
}

// page returns up to size objects of the kind after a name, in order of names.
func (d *data) page(kind, after string, size int) (items []Object, more bool, at int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := make([]string, 0, len(d.kinds[kind]))
	for name := range d.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > size {
		names, more = names[:size], true
	}
	items = make([]Object, 0, len(names))
	for _, name := range names {
		items = append(items, d.kinds[kind][name])
	}
	return items, more, d.revision
}

// since returns the kind's changes after a revision; known is false where the
// history doesn't reach back so far. The channel is closed by the next change.
func (d *data) since(kind string, from int64) (events []change, at int64, known bool, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if from < d.forgotten {
		return nil, d.revision, false, d.changed
	}
	for _, past := range d.history {
		if past.revision > from && past.kind == kind {
			events = append(events, past)
		}
	}
	return events, d.revision, true, d.changed
}

// compact forgets the history.
func (d *data) compact() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.history = nil
	d.forgotten = d.revision
	close(d.changed)
	d.changed = make(chan struct{})
}
