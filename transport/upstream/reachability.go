package upstream

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// knownReachable is how long a back end whose machine answered a probe isn't probed
// again. Chosen, not measured.
const knownReachable = time.Second

// reachability probes the machines of silent back ends, once for all requests that wait
// for the same one. It is safe for concurrent use.
type reachability struct {
	now func() time.Time
	// dial probes a machine by connecting to it, and tells whether it answered in any way.
	dial func(address string) bool
	// dials counts the probes.
	dials atomic.Uint64

	mutex  sync.Mutex
	probes map[endpoint]*probe
}

// probe is one probe of a back end's machine.
type probe struct {
	// done is closed when the probe has ended; only then ended and answered are set.
	done     chan struct{}
	ended    time.Time
	answered bool
}

func newReachability(settings Settings, now func() time.Time) *reachability {
	return &reachability{now: now, probes: make(map[endpoint]*probe), dial: func(address string) bool {
		return answersDial(address, settings.ProbeTimeout)
	}}
}

// answersDial tells whether the machine at the address accepts or refuses a connection
// within the timeout. One that is dark or cut off does neither.
func answersDial(address string, timeout time.Duration) bool {
	opened, err := net.DialTimeout("tcp", address, timeout)
	if err == nil {
		_ = opened.Close()
		return true
	}
	var failure net.Error
	return !errors.As(err, &failure) || !failure.Timeout()
}

// find tells whether the back end's machine can be reached. Requests that ask at the same
// time share one probe, and later ones its answer for knownReachable if there was one.
func (r *reachability) find(to endpoint) bool {
	current, isNew := r.join(to)
	if !isNew {
		<-current.done
		return current.answered
	}
	r.dials.Add(1)
	found := r.dial(to.address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current.answered, current.ended = found, r.now()
	close(current.done)
	if !found {
		delete(r.probes, to)
	}
	return found
}

// join returns the probe under way or known, or begins a new one. Probes that are too old
// are forgotten.
func (r *reachability) join(to endpoint) (current *probe, isNew bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for other, old := range r.probes {
		if !old.ended.IsZero() && now.Sub(old.ended) >= knownReachable {
			delete(r.probes, other)
		}
	}
	if known := r.probes[to]; known != nil {
		return known, false
	}
	current = &probe{done: make(chan struct{})}
	r.probes[to] = current
	return current, true
}
