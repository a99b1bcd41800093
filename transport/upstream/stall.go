package upstream

import (
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnreachable is the cause of an exchange that was aborted because the backend's
// host became unreachable.
var ErrUnreachable = merry.Sentinel("the back end's machine can't be reached any more")

// stallDetector aborts an exchange if the backend has sent nothing for StallTimeout and
// its host doesn't respond to a probe. Otherwise a host that fails in the middle of a
// response would be noticed only at the request's deadline, too late for a retry. The
// host of a backend that is merely slow responds to the probe. The exchange isn't aborted
// if no other backend sends anything during the probe, because this node's own link may
// have failed.
type stallDetector struct {
	exchange *exchange
	timer    *time.Timer
	// hasAborted is set once the detector has aborted the exchange.
	hasAborted atomic.Bool
	stopped    atomic.Bool
}

// startStallDetector starts watching the exchange.
func startStallDetector(watched *exchange) *stallDetector {
	s := &stallDetector{exchange: watched}
	// check uses s.timer, so the timer must not fire before s.timer is set.
	s.timer = time.AfterFunc(time.Hour, s.check)
	s.timer.Reset(watched.client.settings.StallTimeout)
	return s
}

// stop stops watching the exchange. It may be called on nil.
func (s *stallDetector) stop() {
	if s == nil {
		return
	}
	s.stopped.Store(true)
	s.timer.Stop()
}

// check probes the backend's host if nothing was received for StallTimeout. It aborts the
// exchange or schedules the next check.
func (s *stallDetector) check() {
	if s.stopped.Load() {
		return
	}
	client := s.exchange.client
	if silent := s.silentFor(); silent < client.settings.StallTimeout {
		s.timer.Reset(client.settings.StallTimeout - silent)
		return
	}
	probeStart := client.now()
	if client.hosts.isReachable(s.exchange.endpoint) || s.silentFor() < client.settings.StallTimeout || !client.hasReceivedSince(probeStart) {
		s.timer.Reset(client.settings.StallTimeout)
		return
	}
	if s.stopped.Load() {
		return
	}
	s.hasAborted.Store(true)
	s.exchange.connection.close()
}

// silentFor returns the time since bytes were last received on the connection.
func (s *stallDetector) silentFor() time.Duration {
	return s.exchange.client.now().Sub(time.Unix(0, s.exchange.connection.lastReceived.Load()))
}

// errorFor returns ErrUnreachable if check has closed the connection, and err otherwise.
// It may be called on nil.
func (s *stallDetector) errorFor(err error) error {
	if s == nil || !s.hasAborted.Load() {
		return err
	}
	return ErrUnreachable
}
