// Package recent keeps values by key and forgets those that nobody asked for in
// a while, so that names that come and go don't gather.
package recent

import "time"

// sweepFloor is the size below which nothing is forgotten.
const sweepFloor = 64

// Map holds values of the keys that were asked for lately. It is not safe for
// concurrent use.
type Map[V any] struct {
	idle    time.Duration
	make    func(now time.Time) V
	entries map[string]*entry[V]
	// sweepAt is the size at which idle entries are looked for.
	sweepAt int
}

type entry[V any] struct {
	value V
	used  time.Time
}

// New makes a map that forgets what rested for idle and makes missing values
// with make.
func New[V any](idle time.Duration, make func(now time.Time) V) *Map[V] {
	return &Map[V]{idle: idle, make: make, entries: map[string]*entry[V]{}, sweepAt: sweepFloor}
}

// Len is how many values are held.
func (m *Map[V]) Len() int { return len(m.entries) }

// Has tells whether the key's value is held.
func (m *Map[V]) Has(key string) bool {
	_, ok := m.entries[key]
	return ok
}

// Get returns the value of the key, made anew where it isn't known.
func (m *Map[V]) Get(key string, now time.Time) *V {
	e, ok := m.entries[key]
	if !ok {
		m.sweep(now)
		e = &entry[V]{value: m.make(now)}
		m.entries[key] = e
	}
	e.used = now
	return &e.value
}

// sweep runs when the map has doubled since the last one, so that its cost for
// each new key is constant.
func (m *Map[V]) sweep(now time.Time) {
	if len(m.entries) < m.sweepAt {
		return
	}
	for key, e := range m.entries {
		if now.Sub(e.used) > m.idle {
			delete(m.entries, key)
		}
	}
	m.sweepAt = max(sweepFloor, 2*len(m.entries))
}
