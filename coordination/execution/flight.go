package execution

import "sync"

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

// attempts is the set of attempts this process has begun and not yet settled in
// the record.
type attempts struct {
	mutex sync.Mutex
	open  map[attemptKey]struct{}
}

func newAttempts() *attempts { return &attempts{open: make(map[attemptKey]struct{})} }

// begin adds the attempt; it is false where it is there already.
func (a *attempts) begin(key attemptKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, found := a.open[key]; found {
		return false
	}
	a.open[key] = struct{}{}
	return true
}

func (a *attempts) end(key attemptKey) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.open, key)
}

func (a *attempts) has(key attemptKey) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, found := a.open[key]
	return found
}
