package relay

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/quarantine"
	"github.com/marblering/marblering/test/bubble"
	"github.com/marblering/marblering/transport/upstream"
)

// watchedProcess is the process of an instance, by the time since the exchange.
type watchedProcess struct {
	Upstream
	began time.Time
	at    func(elapsed time.Duration) upstream.Life
	// probed is what the last connection has shown.
	probed   upstream.Life
	probedAt time.Time
}

// Check finds a silent process only by a connection to it, which may be an earlier one.
func (p *watchedProcess) Check(_ context.Context, _ *upstream.Request, look upstream.Look) upstream.Life {
	found := p.at(time.Since(p.began))
	switch {
	case look.IsPassive && found == upstream.LifeSilent:
		return upstream.LifeContinues
	case look.IsPassive:
		return found
	case p.probedAt.IsZero() || time.Since(p.probedAt) >= look.MaxAge:
		p.probed, p.probedAt = found, time.Now()
	}
	return p.probed
}

// recordedCrashes records what is told of a send.
type recordedCrashes struct {
	Crashes
	isSuspected bool
	told        []string
	// ranAfter is how long after the exchange the instance was last seen to run.
	ranAfter time.Duration
}

func (c *recordedCrashes) IsSuspected(quarantine.Fingerprint) bool { return c.isSuspected }

func (c *recordedCrashes) Report(_ context.Context, crash quarantine.Crash) (known quarantine.Suspicion) {
	told := "ended"
	if crash.SeenAfter == 0 {
		told = "ended at the break"
	}
	c.told = append(c.told, told)
	c.ranAfter = crash.RanAfter
	return known
}

func (c *recordedCrashes) Unresolve(_ context.Context, send quarantine.Send) (known quarantine.Suspicion) {
	told := "unresolved"
	if send.MayHaveEnded {
		told = "may have ended"
	}
	c.told = append(c.told, told)
	c.ranAfter = send.RanAfter
	return known
}

func (c *recordedCrashes) Drop(context.Context, quarantine.Fingerprint, quarantine.SendID) {
	c.told = append(c.told, "dropped")
}

// TestProcessIsWatchedAfterItsClientHasLeft guards against ends that nobody sees since the
// exchange was over, and against harmless sends that count or cost messages.
func TestProcessIsWatchedAfterItsClientHasLeft(t *testing.T) {
	until := func(end time.Duration, before, after upstream.Life) func(time.Duration) upstream.Life {
		return func(elapsed time.Duration) upstream.Life {
			if elapsed < end {
				return before
			}
			return after
		}
	}
	const soon, late = 200 * time.Millisecond, 2 * time.Second
	for name, c := range map[string]struct {
		process     func(time.Duration) upstream.Life
		isSuspected bool
		isLeaving   bool
		isBroken    bool
		wanted      []string
		ranAfter    time.Duration
	}{
		"broke, unclear, has ended":   {process: until(late, upstream.LifeUnclear, upstream.LifeEnded), isBroken: true, wanted: []string{"may have ended", "ended at the break"}},
		"broke, ran on, ends":         {process: until(late, upstream.LifeContinues, upstream.LifeEnded), isBroken: true},
		"runs on":                     {process: until(soon, upstream.LifeContinues, upstream.LifeContinues)},
		"runs on, suspected":          {process: until(soon, upstream.LifeContinues, upstream.LifeContinues), isSuspected: true, wanted: []string{"unresolved", "dropped"}},
		"ends soon":                   {process: until(soon, upstream.LifeContinues, upstream.LifeEnded), wanted: []string{"ended"}, ranAfter: soon - watchPause},
		"ends late":                   {process: until(late, upstream.LifeContinues, upstream.LifeEnded), wanted: []string{"ended"}},
		"leaves as planned":           {process: until(late, upstream.LifeContinues, upstream.LifeEnded), isLeaving: true},
		"falls silent, suspected":     {process: until(soon, upstream.LifeContinues, upstream.LifeSilent), isSuspected: true, wanted: []string{"unresolved", "may have ended"}, ranAfter: soon - watchPause},
		"silent while it is to leave": {process: until(late, upstream.LifeSilent, upstream.LifeEnded), isLeaving: true, wanted: []string{"may have ended", "ended"}},
		"ends while it is to leave":   {process: until(soon, upstream.LifeContinues, upstream.LifeEnded), isLeaving: true, wanted: []string{"ended"}},
		"silent, runs on":             {process: until(late, upstream.LifeSilent, upstream.LifeContinues), wanted: []string{"may have ended", "dropped"}},
		"silent, has ended":           {process: until(10*time.Second, upstream.LifeSilent, upstream.LifeEnded), wanted: []string{"may have ended", "ended"}},
		"silent":                      {process: until(soon, upstream.LifeSilent, upstream.LifeSilent), wanted: []string{"may have ended"}},
		"unclear":                     {process: until(soon, upstream.LifeUnclear, upstream.LifeUnclear), wanted: []string{"may have ended"}},
		"silent, then starts again":   {process: until(late, upstream.LifeSilent, upstream.LifeUnclear), wanted: []string{"may have ended"}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				crashes := &recordedCrashes{isSuspected: c.isSuspected}
				pool := backend.NewPool(backend.EjectionPolicy(), time.Now)
				pool.Replace([]backend.Instance{{ID: "i-1", Service: "app"}})
				assignment, err := pool.Acquire(backend.Query{Service: "app", Route: "r"})
				assert.NilError(t, err)
				pool.Replace([]backend.Instance{{ID: "i-1", Service: "app", Leaving: c.isLeaving}})
				handler := New(Options{
					Upstream: &watchedProcess{began: time.Now(), at: c.process}, Crashes: crashes,
					Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), Now: time.Now,
				})
				watched := &watchedSend{
					handler: handler, assignment: assignment, process: &upstream.Request{}, sentAt: time.Now(), endedAt: time.Now(), isBroken: c.isBroken,
				}
				watched.watch(t.Context())
				assert.DeepEqual(t, crashes.told, c.wanted)
				assert.Assert(t, crashes.ranAfter >= c.ranAfter && crashes.ranAfter < c.ranAfter+maxWatchPause, crashes.ranAfter)
				assert.Assert(t, time.Since(watched.endedAt) <= silentWatchTimeout+maxWatchPause)
			})
		})
	}
}
