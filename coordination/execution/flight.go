package execution

import (
	"maps"
	"sync"
	"time"
)

type flightKey struct{ program, key string }

// flight is one call under way at this node. Further requests with the same key
// wait for it rather than race it.
type flight struct {
	digest [32]byte
	done   chan struct{}
	answer Answer
	err    error
}

// flights joins requests with equal program and key.
type flights struct {
	mutex  sync.Mutex
	active map[flightKey]*flight
}

func newFlights() *flights { return &flights{active: make(map[flightKey]*flight)} }

// join returns the flight of the key; leads is true for the one that made it.
func (f *flights) join(key flightKey, digest [32]byte) (joined *flight, leads bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if existing, found := f.active[key]; found {
		return existing, false
	}
	created := &flight{digest: digest, done: make(chan struct{})}
	f.active[key] = created
	return created, true
}

// land publishes the outcome to those who wait.
func (f *flights) land(key flightKey, landed *flight, answer Answer, err error) {
	f.mutex.Lock()
	delete(f.active, key)
	f.mutex.Unlock()
	landed.answer = answer
	landed.err = err
	close(landed.done)
}

type attemptKey struct {
	program  string
	sequence uint64
	attempt  uint32
}

// attempts is what this process has begun and not yet settled in the record:
// the attempts, and the calls whose next attempt is being stored. The latter
// count as running, since others may read what was stored before this process
// has heard of it.
type attempts struct {
	mutex sync.Mutex
	// open has when each attempt was begun.
	open map[attemptKey]time.Time
	// lost are attempts that were begun here and whose outcome couldn't be
	// recorded. They are never begun again: who asks next takes them over as lost.
	lost    map[attemptKey]struct{}
	storing map[flightKey]int
}

func newAttempts() *attempts {
	return &attempts{
		open:    make(map[attemptKey]time.Time),
		lost:    make(map[attemptKey]struct{}),
		storing: make(map[flightKey]int),
	}
}

// announce tells that an attempt of the call may be stored, until the returned
// function is called.
func (a *attempts) announce(key flightKey) (done func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.storing[key]++
	return func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.storing[key]--
		if a.storing[key] == 0 {
			delete(a.storing, key)
		}
	}
}

// isStoring reports whether an attempt of the call with the key may be on its
// way into the record.
func (a *attempts) isStoring(key flightKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.storing[key] > 0
}

// isStoringAny reports the same of any call of the program.
func (a *attempts) isStoringAny(program string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key := range a.storing {
		if key.program == program {
			return true
		}
	}
	return false
}

// begin adds the attempt; it is false where it was begun before.
func (a *attempts) begin(key attemptKey, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, running := a.open[key]
	_, lost := a.lost[key]
	if running || lost {
		return false
	}
	a.open[key] = now
	return true
}

// end forgets an attempt whose outcome is in the record.
func (a *attempts) end(key attemptKey) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, key)
	delete(a.lost, key)
}

// lose keeps an attempt that no longer runs and whose outcome isn't in the
// record.
func (a *attempts) lose(key attemptKey) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, key)
	a.lost[key] = struct{}{}
}

func (a *attempts) isLost(key attemptKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, found := a.lost[key]
	return found
}

// begun returns the open attempts and when they were begun.
func (a *attempts) begun() map[attemptKey]time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return maps.Clone(a.open)
}

func (a *attempts) has(key attemptKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, found := a.open[key]
	return found
}
