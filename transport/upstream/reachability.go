package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// probeLifetime is how long a successful probe is valid before the host is probed again.
const probeLifetime = time.Second

// hostProber probes the hosts of backends that stopped sending. Requests that wait for
// the same backend share a probe. It is safe for concurrent use.
type hostProber struct {
	now func() time.Time
	// probeHost connects to a host and reports whether the host responded in any way.
	probeHost  func(address string) bool
	probeCount atomic.Uint64

	mutex  sync.Mutex
	probes map[endpoint]*probe
}

// probe is a probe of a backend's host.
type probe struct {
	// done is closed when the probe has ended. Only then are ended and reachable set.
	done      chan struct{}
	ended     time.Time
	reachable bool
}

func newHostProber(settings Settings, now func() time.Time) *hostProber {
	return &hostProber{now: now, probes: make(map[endpoint]*probe), probeHost: func(address string) bool {
		return isHostReachable(address, settings.ProbeTimeout)
	}}
}

// isHostReachable reports whether a connection to the address is accepted or fails
// before the timeout. A refused connection shows that the host is running.
func isHostReachable(address string, timeout time.Duration) bool {
	opened, err := net.DialTimeout("tcp", address, timeout)
	if err == nil {
		_ = opened.Close()
		return true
	}
	return !isTimeout(err)
}

// isReachable reports whether the backend's host is reachable. Concurrent calls share one
// probe; later calls reuse a successful one for probeLifetime.
func (r *hostProber) isReachable(to endpoint) bool {
	current, isNew := r.joinProbe(to)
	if !isNew {
		<-current.done
		return current.reachable
	}
	r.probeCount.Add(1)
	reachable := r.probeHost(to.address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current.reachable, current.ended = reachable, r.now()
	close(current.done)
	if !reachable {
		delete(r.probes, to)
	}
	return reachable
}

// joinProbe returns the pending or valid probe of the backend, or adds a new one, which
// the caller must run. It removes expired probes.
func (r *hostProber) joinProbe(to endpoint) (current *probe, isNew bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for other, old := range r.probes {
		if !old.ended.IsZero() && now.Sub(old.ended) >= probeLifetime {
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
