package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	lateSoakSeeds = flag.Int("latesoak.seeds", 2, "number of seeds of TestLateClientsGetWholeStreamsOrRefusals")
	lateSoakFirst = flag.Uint64("latesoak.first", 1, "first of these seeds; the even ones spare storage nodes and store")
	lateSoakTime  = flag.Duration("latesoak.time", 18*time.Second, "how long faults are injected for each seed")
	// lateSoakAbsence exceeds lateTimeout + 5 s, the time after which gateways once took the
	// only version they knew for that of any stream.
	lateSoakAbsence  = flag.Duration("latesoak.absence", 9*time.Second, "the longest time after which a client comes back to its stream")
	lateSoakRestarts = flag.Bool("latesoak.restarts", true, "let instances start again under their id as another version, before their entries say so; not on the seeds 2, 6, 10 and so on")
)

const (
	// lateTimeout is the time allowed for a request.
	lateTimeout = 1500 * time.Millisecond
	lateClients = 45
	// lateQuiet is how long one version serves undisturbed. Gateways once took it for that of
	// any stream after lateTimeout + 5 s.
	lateQuiet = lateTimeout + 8*time.Second
)

// lateSoak is a system under faults whose clients come back to their streams late and often.
type lateSoak struct {
	*soakSystem
	// sparesStorage is set if neither a storage node nor the store is ever disturbed.
	sparesStorage bool
	// restartsAsAnother is set if instances start again as another version.
	restartsAsAnother bool
	// kept are instances of the first version that stay during the whole run. They aren't in
	// instances.
	kept        []*soakInstance
	steps       []lateStep
	isReleasing bool
	// restarts are when instances started again as another version.
	restarts []*lateRestart
	// quietUntil is when the next fault may begin.
	quietUntil time.Time
}

// lateStep is a part of a fault that is still to come.
type lateStep struct {
	at  time.Time
	run func()
}

func newLateSoak(t *testing.T, seed uint64) *lateSoak {
	t.Helper()
	l := &lateSoak{sparesStorage: seed%2 == 0, restartsAsAnother: *lateSoakRestarts && seed%4 != 2, soakSystem: newSoakSystem(t, seed, soakLayout{
		gateways: soakGateways, storageNodes: soakStorageNodes, drainTimeout: 4 * time.Second,
		configuration: map[string]any{
			"version": 1,
			"routes": []map[string]any{{
				"name": "r", "host": "desk.example", "path_prefix": "/streams/", "kind": "stream", "timeout_ms": lateTimeout.Milliseconds(),
				"service": "app", "attempts": 2, "resumable": true,
			}},
			"services": []map[string]any{{"name": "app", "engine": map[string]any{"stream_stride": 25}}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		},
	})}
	l.newest = 1
	if seed%4 >= 2 {
		l.keepFirstVersion()
	}
	for range soakInstances / 2 {
		l.addInstance("v1")
	}
	if l.random.IntN(2) == 0 {
		l.newest = 2
	}
	for range soakInstances / 2 {
		l.addInstance(fmt.Sprint("v", l.newest))
	}
	l.awaitStorage(&soakClients{soak: l.soakSystem, stopped: make(chan struct{})})
	return l
}

// TestLateClientsGetWholeStreamsOrRefusals guards against streams that go on at another
// version, or with other events than the next one, for clients that come back at any time
// and often, and against losing streams that could go on.
func TestLateClientsGetWholeStreamsOrRefusals(t *testing.T) {
	for index := range *lateSoakSeeds {
		seed := *lateSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			l := newLateSoak(t, seed)
			callers := newLateCallers(l, seed)
			l.injectSteps(*lateSoakTime)
			l.awaitGateways()
			total := callers.stop()
			t.Logf("seed %d, storage spared: %v: %v", seed, l.sparesStorage, total)
			for _, fault := range total.faults {
				t.Error(fault)
			}
			assert.Assert(t, total.whole > 0)
			assert.Assert(t, total.resumed > 0)
		})
	}
}

// keepFirstVersion adds instances of the first version that no fault takes.
func (l *lateSoak) keepFirstVersion() {
	l.addInstance("v1")
	l.addInstance("v1")
	l.kept, l.instances = l.instances, nil
	l.t.Cleanup(func() {
		for _, instance := range l.kept {
			instance.Close()
		}
	})
}

// awaitGateways waits until all gateways are ready.
func (l *lateSoak) awaitGateways() {
	l.t.Helper()
	for _, g := range l.gateways {
		g.process.WaitHTTP(l.t, "http://"+g.process.WaitValue(l.t, "operator_address")+"/readyz")
	}
}

// after adds a step.
func (l *lateSoak) after(pause time.Duration, run func()) {
	l.steps = append(l.steps, lateStep{time.Now().Add(pause), run})
}

// upTo returns a random duration.
func (l *lateSoak) upTo(limit time.Duration) time.Duration { return randomUpTo(l.random, limit) }

func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// injectSteps begins faults for the span, and returns once all have ended. In the first half
// of the span only one version stays for a while.
func (l *lateSoak) injectSteps(span time.Duration) {
	const maxSteps = 5
	faults, next := l.faults(), time.Now()
	start, hasKeptOne := next, false
	for deadline := start.Add(span); time.Now().Before(deadline) || len(l.steps) > 0; time.Sleep(5 * time.Millisecond) {
		l.runDueSteps()
		now := time.Now()
		if now.After(deadline) || now.Before(next) || l.isQuiet() || len(l.steps) >= maxSteps {
			continue
		}
		fault := faults[l.random.IntN(len(faults))]
		if !hasKeptOne && now.Sub(start) > span/4 {
			fault = lateFault{"only one version stays", l.keepOneVersion}
		}
		if fault.begin() {
			l.t.Logf("%s: %s", now.Format(lateClock), fault.name)
			hasKeptOne = hasKeptOne || l.isQuiet()
			next = time.Now().Add(l.upTo(time.Second))
		}
	}
}

// isQuiet reports whether one version is to serve undisturbed.
func (l *lateSoak) isQuiet() bool { return time.Now().Before(l.quietUntil) }

func (l *lateSoak) runDueSteps() {
	now := time.Now()
	var due, left []lateStep
	for _, step := range l.steps {
		if now.Before(step.at) {
			left = append(left, step)
		} else {
			due = append(due, step)
		}
	}
	l.steps = left
	for _, step := range due {
		step.run()
	}
}
