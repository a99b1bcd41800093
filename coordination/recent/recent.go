// Package recent provides a map that drops entries after a period without use, so that it
// doesn't grow with every key ever seen.
package recent

import "time"

// minSweepSize is the number of entries below which none are dropped.
const minSweepSize = 64

// Map holds the values of recently used keys. It is not safe for concurrent use.
type Map[V any] struct {
	maxIdle  time.Duration
	newValue func(now time.Time) V
	entries  map[string]*entry[V]
	// nextSweepSize is the number of entries at which the next sweep runs.
	nextSweepSize int
}

type entry[V any] struct {
	value    V
	lastUsed time.Time
}

// New returns a map that creates missing values with newValue and may drop entries that
// weren't used for longer than maxIdle.
func New[V any](maxIdle time.Duration, newValue func(now time.Time) V) *Map[V] {
	return &Map[V]{maxIdle: maxIdle, newValue: newValue, entries: map[string]*entry[V]{}, nextSweepSize: minSweepSize}
}

// Len returns the number of entries, including idle ones not dropped yet.
func (m *Map[V]) Len() int { return len(m.entries) }

// Has reports whether the map has an entry for the key. It doesn't count as use.
func (m *Map[V]) Has(key string) bool {
	_, ok := m.entries[key]
	return ok
}

// Get returns the value of the key, which it creates if missing, and marks it as used.
func (m *Map[V]) Get(key string, now time.Time) *V {
	e, ok := m.entries[key]
	if !ok {
		m.sweep(now)
		e = &entry[V]{value: m.newValue(now)}
		m.entries[key] = e
	}
	e.lastUsed = now
	return &e.value
}

// sweep drops idle entries once the map has doubled since the previous sweep, so that the
// amortized cost of a new key is constant.
func (m *Map[V]) sweep(now time.Time) {
	if len(m.entries) < m.nextSweepSize {
		return
	}
	for key, e := range m.entries {
		if now.Sub(e.lastUsed) > m.maxIdle {
			delete(m.entries, key)
		}
	}
	m.nextSweepSize = max(minSweepSize, 2*len(m.entries))
}
