package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/transport/upstream"
)

const (
	// leftProbeTimeout bounds the first check of an instance whose client has left: the next
	// try may come to another gateway soon.
	leftProbeTimeout = 100 * time.Millisecond
	// watchTimeout is how long an instance is watched after the exchange, and
	// silentWatchTimeout one that hasn't shown since that it runs.
	watchTimeout       = 3200 * time.Millisecond
	silentWatchTimeout = 30 * time.Second
	// settleTime is how long a send of a suspected request counts whose instance runs on: it
	// may still end under the request until it has noticed that nobody waits.
	settleTime = 600 * time.Millisecond
	// watchPause is the pause between two checks within settleTime. Later on it doubles with
	// each, up to maxWatchPause.
	watchPause    = 50 * time.Millisecond
	maxWatchPause = 2 * time.Second
	// connectInterval is the shortest time between two connections to an instance that has
	// shown that it runs.
	connectInterval = 700 * time.Millisecond
	// maxWatched is the number of sends that are watched at a time.
	maxWatched = 1000
)

// SendWatcher goes on to look for the outcome of sends whose exchanges have ended without one:
// an instance may end after its client has left, or may have ended unseen. It is a
// suture.Service, and ends once no send is watched.
type SendWatcher struct {
	added   chan *watchedSend
	running sync.WaitGroup
}

func newSendWatcher() *SendWatcher { return &SendWatcher{added: make(chan *watchedSend, maxWatched)} }

// add watches a send, unless there are too many.
func (w *SendWatcher) add(send *watchedSend) {
	select {
	case w.added <- send:
	default:
		send.handler.options.Logger.Warn("send not watched, too many others are", send.logFields...)
	}
}

// Serve watches sends until the context ends.
func (w *SendWatcher) Serve(ctx context.Context) error {
	defer w.running.Wait()
	slots := make(chan struct{}, maxWatched)
	for {
		select {
		case send := <-w.added:
			slots <- struct{}{}
			w.running.Go(func() {
				defer func() { <-slots }()
				send.watch(ctx)
			})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watchedSend is a send whose exchange has ended without an outcome.
type watchedSend struct {
	handler    *Handler
	assignment *backend.Assignment
	send       quarantine.Send
	// known is the number of crashes that were known when it was made.
	known           int
	sentAt, endedAt time.Time
	isBroken        bool
	// process identifies the instance's process for checks.
	process   *upstream.Request
	logFields []zap.Field

	// isNoted is set while storage nodes know of the send, isOver once its outcome is known.
	isNoted, isOver bool
	suspicion       quarantine.Suspicion
	// found is what the last check at checkedAt has shown, connectedAt the time of the last
	// check that may have connected to the instance.
	found                  upstream.Life
	checkedAt, connectedAt time.Time
	// ranAt is when a check last showed that the instance runs, before the first that showed
	// that it may have ended; zero for never.
	ranAt time.Time
}

// watch checks the instance again and again until it has ended or has run for long enough.
func (s *watchedSend) watch(ctx context.Context) {
	pause := watchPause
	for !s.isOver && s.elapsed() < s.timeout() {
		timeout := endProbeTimeout
		if s.checkedAt.IsZero() {
			timeout = leftProbeTimeout
		} else if sleep.For(ctx, pause) != nil {
			return
		}
		found := s.check(ctx, timeout, s.mayLookPassively())
		if ctx.Err() != nil {
			return
		}
		s.settle(ctx, found)
		if s.elapsed() > settleTime {
			pause = min(2*pause, maxWatchPause)
		}
	}
}

// decide checks the instance once all of its connections would have broken if it had ended with
// the exchange. Without an answer to that, or if the context of the request ends before, it is watched
// on.
func (s *watchedSend) decide(ctx context.Context) {
	found := upstream.LifeUnclear
	isSettled := sleep.For(ctx, upstream.BreakSettle-s.elapsed()) == nil
	ctx = context.WithoutCancel(ctx)
	if isSettled {
		found = s.check(ctx, endProbeTimeout, false)
	}
	s.settleOrWatch(ctx, found)
}

// settleUnmarked settles the send of a stream that ended with its connection. Its process answered a
// question after that, and may have been ending all the same.
func (s *watchedSend) settleUnmarked(ctx context.Context) {
	_ = sleep.For(ctx, endSettle-s.elapsed())
	if s.check(ctx, endProbeTimeout, true) == upstream.LifeEnded && !s.assignment.IsLeaving() {
		s.settle(ctx, upstream.LifeEnded)
		return
	}
	s.drop(ctx)
}

// settleOrWatch settles the send, and has it watched on unless its outcome is known then.
func (s *watchedSend) settleOrWatch(ctx context.Context, found upstream.Life) {
	s.settle(ctx, found)
	if !s.isOver {
		s.handler.watcher.add(s)
	}
}

func (s *watchedSend) elapsed() time.Duration { return s.handler.options.Now().Sub(s.endedAt) }

func (s *watchedSend) timeout() time.Duration {
	if s.found == upstream.LifeSilent {
		return silentWatchTimeout
	}
	return watchTimeout
}

// mayLookPassively reports whether the next check needs no connection to the instance. The
// connections of a silent one look open, so that a send isn't dropped without a new one.
func (s *watchedSend) mayLookPassively() bool {
	switch {
	case s.connectedAt.IsZero(), s.found == upstream.LifeSilent, s.isNoted && s.elapsed() >= settleTime:
		return false
	}
	return s.handler.options.Now().Sub(s.connectedAt) < connectInterval
}

// check checks the instance. What it sent before this gateway ended the exchange shows that it
// ran then.
func (s *watchedSend) check(ctx context.Context, timeout time.Duration, isPassive bool) upstream.Life {
	if s.assignment.IsReplaced() {
		return upstream.LifeEnded
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	look := upstream.Look{EndedAt: s.endedAt, IsBroken: s.isBroken, IsPassive: isPassive, HeardSince: s.checkedAt}
	if s.checkedAt.IsZero() && !s.isBroken {
		look.HeardSince = s.endedAt.Add(-leftProbeTimeout)
	}
	s.checkedAt = s.handler.options.Now()
	if !isPassive {
		s.connectedAt = s.checkedAt
	}
	look.MaxAge = s.maxProbeAge()
	s.found = s.handler.options.Upstream.Check(ctx, s.process, look)
	if s.found == upstream.LifeContinues && !s.send.MayHaveEnded {
		s.ranAt = s.checkedAt
	}
	if s.found == upstream.LifeSilent && s.assignment.IsUnlisted() {
		return upstream.LifeEnded
	}
	return s.found
}

// maxProbeAge returns how old a connection of another send may be that is taken for one of this.
func (s *watchedSend) maxProbeAge() time.Duration {
	switch {
	case s.elapsed() < settleTime:
		return 0
	case s.isNoted:
		return watchPause
	}
	return connectInterval
}

// assume takes what the exchange itself has shown for a check.
func (s *watchedSend) assume(found upstream.Life) upstream.Life {
	s.found = found
	s.checkedAt = s.handler.options.Now()
	s.connectedAt = s.checkedAt
	return found
}

// settle tells the other gateways what a check has found and returns what is known of the
// request then.
func (s *watchedSend) settle(ctx context.Context, found upstream.Life) quarantine.Suspicion {
	isSettled := s.elapsed() >= settleTime
	switch found {
	case upstream.LifeEnded:
		if isSettled && !s.isNoted && s.assignment.IsLeaving() {
			s.isOver = true // it has left as planned
			break
		}
		s.report(ctx)
	case upstream.LifeSilent:
		s.note(ctx, found, silentLifetime)
	case upstream.LifeUnclear:
		s.note(ctx, found, unclearLifetime)
	case upstream.LifeContinues:
		if !s.isBroken && !isSettled && (s.isNoted || s.handler.options.Crashes.IsSuspected(s.send.Fingerprint)) {
			s.note(ctx, found, unclearLifetime)
			break
		}
		s.drop(ctx)
		// Only the response was lost. Connections that break later tell nothing of this send.
		s.isOver = s.isBroken
	}
	return s.suspicion
}

// report reports that the instance has ended under the request.
func (s *watchedSend) report(ctx context.Context) {
	s.isOver = true
	now := s.handler.options.Now()
	crash := quarantine.Crash{
		Fingerprint: s.send.Fingerprint, Send: s.send.ID, Instance: s.send.Instance, SentAgo: now.Sub(s.sentAt),
		EndedAgo: now.Sub(s.endedAt), RanAfter: s.ranAfter(), SeenAfter: now.Sub(s.endedAt), Known: s.known,
	}
	if s.isBroken && s.isNoted {
		crash.SeenAfter = 0 // it had broken the exchange, and nothing has shown since that it ran on
	}
	s.suspicion = s.handler.options.Crashes.Report(ctx, crash)
	s.handler.options.Metrics.crashes.Inc()
	instance := &s.assignment.Instance
	s.handler.options.Logger.Info("back end ended under request", s.fields(
		zap.String("version", instance.Version), zap.Bool("leaving", instance.Leaving),
		zap.Duration("ran", now.Sub(s.sentAt)), zap.Duration("found_after", s.elapsed()))...)
}

// ranAfter returns how long after the exchange the instance was last seen to run. One that broke
// the exchange may have ended then.
func (s *watchedSend) ranAfter() time.Duration {
	if s.isBroken || s.ranAt.Before(s.endedAt) {
		return 0
	}
	return s.ranAt.Sub(s.endedAt)
}

// note notes that nothing shows whether the instance has ended. A send that counts already is
// noted again only as its exchange has ended, and once the instance may have ended.
func (s *watchedSend) note(ctx context.Context, found upstream.Life, lifetime time.Duration) {
	mayHaveEnded := s.send.MayHaveEnded || found != upstream.LifeContinues
	if s.isNoted && !s.send.IsOpen && s.send.MayHaveEnded == mayHaveEnded {
		return
	}
	s.isNoted, s.send.IsOpen, s.send.IsBroken = true, false, s.isBroken
	s.send.MayHaveEnded, s.send.RanAfter = mayHaveEnded, s.ranAfter()
	now := s.handler.options.Now()
	s.send.SentAgo, s.send.EndedAgo, s.send.Lifetime = now.Sub(s.sentAt), now.Sub(s.endedAt), lifetime
	s.suspicion = s.handler.options.Crashes.Unresolve(ctx, s.send)
	s.handler.options.Metrics.unresolved.WithLabelValues(found.String()).Inc()
	s.handler.options.Logger.Info("back end may have ended under request", s.fields(zap.Stringer("found", found))...)
}

// drop notes that the instance still runs.
func (s *watchedSend) drop(ctx context.Context) {
	if !s.isNoted {
		return
	}
	s.isNoted, s.send.MayHaveEnded = false, false
	s.handler.options.Crashes.Drop(ctx, s.send.Fingerprint, s.send.ID)
	s.handler.options.Logger.Info("back end still runs after request", s.fields(zap.Duration("found_after", s.elapsed()))...)
}

// fields returns the log fields of the send with others, and with what is known now.
func (s *watchedSend) fields(others ...zap.Field) []zap.Field {
	return slices.Concat(s.logFields, others, []zap.Field{
		zap.Int("crashes_now", s.suspicion.Crashes), zap.Int("suspected_now", s.suspicion.Suspected),
	})
}
