package integration

import (
	"slices"
	"sync"
	"time"

	"github.com/marblering/marblering/lab/runner"
)

// lateFault begins at once and adds steps that end it. It begins nothing and returns false if
// it doesn't fit the system's state.
type lateFault struct {
	name  string
	begin func() bool
}

func (l *lateSoak) faults() []lateFault {
	faults := []lateFault{
		{"gateway killed", l.stepsOf((*soakSystem).killGateway, 400*time.Millisecond)},
		{"gateway terminated", l.terminateGateway},
		{"gateway paused", l.stepsOf((*soakSystem).pauseGateway, 900*time.Millisecond)},
		{"instance crashed", l.stepsOf((*soakSystem).crashInstance, 700*time.Millisecond)},
		{"all gateways killed", l.killAllGateways},
		{"all gateways killed", l.killAllGateways},
		{"release", l.release},
		{"release", l.release},
		{"version leaves", l.removeVersion},
		{"only one version stays", l.keepOneVersion},
	}
	if !l.sparesStorage {
		faults = append(faults,
			lateFault{"storage node killed", l.stepsOf((*soakSystem).killStorage, 500*time.Millisecond)},
			lateFault{"all storage nodes killed", l.killAllStorage},
			lateFault{"store silent", l.stepsOf((*soakSystem).silenceStore, time.Second)})
	}
	if l.restartsAsAnother {
		restart := lateFault{"instances start again as another version", l.restartAsAnother}
		faults = append(faults, slices.Repeat([]lateFault{restart}, len(faults)/2)...)
	}
	return faults
}

// stepsOf makes a fault of one that ends after the duration.
func (l *lateSoak) stepsOf(begin func(*soakSystem) func(), duration time.Duration) func() bool {
	return func() bool {
		end := begin(l.soakSystem)
		if end != nil {
			l.after(duration, end)
		}
		return end != nil
	}
}

// terminateGateway starts a gateway again once it has ended by itself.
func (l *lateSoak) terminateGateway() bool {
	g := l.takeGateway()
	if g == nil {
		return false
	}
	g.process.Terminate()
	l.after(300*time.Millisecond, func() { l.startOnceEnded(g) })
	return true
}

func (l *lateSoak) startOnceEnded(g *soakGateway) {
	if g.process.HasEnded() {
		l.startGateway(g)
		return
	}
	l.after(50*time.Millisecond, func() { l.startOnceEnded(g) })
}

// killAllGateways kills those too that are paused or about to end. It may be the first of
// several times.
func (l *lateSoak) killAllGateways() bool {
	var serving []*soakGateway
	for g := l.takeServingGateway(1); g != nil; g = l.takeServingGateway(1) {
		serving = append(serving, g)
	}
	if len(serving) == 0 {
		return false
	}
	var killing sync.WaitGroup
	for _, g := range l.gateways {
		killing.Go(g.process.Kill)
	}
	killing.Wait()
	l.after(l.upTo(800*time.Millisecond), func() {
		for _, g := range serving {
			l.startGateway(g)
		}
		if l.random.IntN(2) == 0 {
			l.unlessQuiet(1500*time.Millisecond, func() { l.killAllGateways() })
		}
	})
	return true
}

// unlessQuiet adds a step within the limit that is left out in quiet times.
func (l *lateSoak) unlessQuiet(limit time.Duration, run func()) {
	l.after(l.upTo(limit), func() {
		if !l.isQuiet() {
			run()
		}
	})
}

// killAllStorage kills the storage nodes that run.
func (l *lateSoak) killAllStorage() bool {
	var running []*storageMachine
	var killing sync.WaitGroup
	for _, m := range l.storage {
		if !m.process.HasEnded() {
			running = append(running, m)
			killing.Go(m.process.Kill)
		}
	}
	killing.Wait()
	l.after(l.upTo(time.Second), func() {
		for _, m := range running {
			m.start(l.t)
		}
	})
	return len(running) > 0
}

// lateRestart is the start of an instance as another version.
type lateRestart struct {
	// runs returns the requests that the instance has run.
	runs func() []runner.Run
	// listed is when the entry said so; zero until then.
	at, listed time.Time
}

// lateEntryDelay is the longest time after which the entry of an instance follows that started
// again as another version.
const lateEntryDelay = time.Second

// restartAsAnother lets one or more instances of a version start again as another one. Their
// entries follow.
func (l *lateSoak) restartAsAnother() bool {
	version := l.anyVersion()
	other := l.otherVersion(version)
	restarted := l.takeIf(1+l.random.IntN(3), func(instance *soakInstance) bool {
		return instance.version == version && !instance.born.IsZero()
	})
	for _, instance := range restarted {
		restart := &lateRestart{runs: instance.Runs, at: time.Now()}
		l.mutex.Lock()
		l.restarts = append(l.restarts, restart)
		l.mutex.Unlock()
		instance.StartAgainAs(" of " + other)
		lag, listed := lateEntryDelay-l.upTo(700*time.Millisecond), make(chan struct{})
		l.t.Logf("%s: %s of %s starts again as %s, listed after %v, tells its start: %v",
			restart.at.Format(lateClock), instance.Instance, version, other, lag, !instance.born.IsZero())
		// Other steps may take longer than the entry.
		time.AfterFunc(lag, func() {
			defer close(listed)
			l.listAs(instance, other, restart)
		})
		l.after(lag, func() { <-listed })
	}
	return len(restarted) > 0
}

// listAs changes the entry of an instance to that of its new process.
func (l *lateSoak) listAs(instance *soakInstance, version string, restart *lateRestart) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	restart.listed = time.Now()
	instance.version, instance.readySince = version, restart.listed
	if !instance.born.IsZero() {
		instance.born = instance.Started()
	}
	l.instances = append(l.instances, instance)
	l.putInstance(instance, "ready")
}

// mayDiffer reports whether the stream that the request began then may be on record as
// uncertain or at another version than that of its events: it ran at an instance that had
// started again as another version, and its entry was wrong or a gateway had an earlier one.
func (l *lateSoak) mayDiffer(request string, begun time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.ContainsFunc(l.restarts, func(r *lateRestart) bool {
		isRecent := begun.After(r.at) && (r.listed.IsZero() || begun.Before(r.listed.Add(lateListDelay)))
		return isRecent && slices.ContainsFunc(r.runs(), func(run runner.Run) bool { return run.ID == request })
	})
}

// isServed reports whether an instance of the version has been in service, undisturbed, since
// then.
func (l *lateSoak) isServed(version string, since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.ContainsFunc(slices.Concat(l.kept, l.instances), func(instance *soakInstance) bool {
		return instance.version == version && instance.readySince.Before(since)
	})
}
