package integration

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/marblering/marblering/lab/platformstore"
)

const (
	// stopTick is the time between two looks at what is due.
	stopTick = 5 * time.Millisecond
	// coreMachine stands for the store and the storage nodes, beside indexes of gateways.
	coreMachine = -1
)

// disruption is an unplanned fault of a gateway or of the core.
type disruption struct {
	machine int
	from    time.Time
	// to is zero while it lasts.
	to time.Time
}

// stopRun carries out a stopPlan.
type stopRun struct {
	*soakSystem
	plan    *stopPlan
	version int

	// due are the ends of faults that have begun.
	due []dueEnd
	// stopping are gateways, leaving storage nodes that got a SIGTERM.
	stopping []*soakGateway
	leaving  []*storageMachine

	disruptions []*disruption
	// failures are stops that took too long or failed.
	failures []string
	stops    int
}

type dueEnd struct {
	at  time.Time
	end func()
}

func (r *stopRun) after(delay time.Duration, end func()) {
	r.due = append(r.due, dueEnd{time.Now().Add(delay), end})
}

// run carries out all steps and returns when the last gateway has stopped and is back.
func (r *stopRun) run() {
	began := time.Now()
	for next := 0; next < len(r.plan.steps) || len(r.stopping)+len(r.leaving)+len(r.due) > 0; time.Sleep(stopTick) {
		for next < len(r.plan.steps) && time.Since(began) >= r.plan.steps[next].at {
			r.do(r.plan.steps[next])
			next++
		}
		r.endDue()
		r.reviveStopped()
	}
}

func (r *stopRun) endDue() {
	now := time.Now()
	var ends []func()
	r.due = slices.DeleteFunc(r.due, func(d dueEnd) bool {
		if now.Before(d.at) {
			return false
		}
		ends = append(ends, d.end)
		return true
	})
	for _, end := range ends {
		end()
	}
}

// reviveStopped starts the gateways and storage nodes whose stop has ended.
func (r *stopRun) reviveStopped() {
	r.stopping = slices.DeleteFunc(r.stopping, func(g *soakGateway) bool {
		if g.life.killed.IsZero() && !g.process.HasEnded() {
			return false
		}
		if g.life.killed.IsZero() {
			r.checkStop(g)
			r.startGateway(g)
		}
		return true
	})
	r.leaving = slices.DeleteFunc(r.leaving, func(m *storageMachine) bool {
		if !m.process.HasEnded() {
			return false
		}
		m.start(r.t)
		r.endDisruption(coreMachine)
		return true
	})
}

// terminate sends SIGTERM and measures how long the process takes to end.
func (l *gatewayLife) terminate() {
	l.terminated, l.stopTime = time.Now(), make(chan time.Duration, 1)
	l.process.Terminate()
	go func() {
		for !l.process.HasEnded() {
			time.Sleep(stopTick)
		}
		l.stopTime <- time.Since(l.terminated)
	}()
}

// checkStop notes a stop that failed or took longer than the drain timeout.
func (r *stopRun) checkStop(g *soakGateway) {
	r.stops++
	took := <-g.life.stopTime
	r.t.Logf("%s stopped in %v", g.process.Command.Name, took.Round(time.Millisecond))
	if code := g.process.Wait(r.t); code != 0 || took > r.plan.drainTimeout+stopTick {
		r.failures = append(r.failures, fmt.Sprintf("%s at %s took %v to stop, exit code %d",
			g.process.Command.Name, g.life.address, took.Round(time.Millisecond), code))
	}
}

func (r *stopRun) beginDisruption(machine int) {
	r.disruptions = append(r.disruptions, &disruption{machine: machine, from: time.Now()})
}

// endDisruption ends the oldest disruption of the machine that lasts.
func (r *stopRun) endDisruption(machine int) {
	for _, d := range r.disruptions {
		if d.machine == machine && d.to.IsZero() {
			d.to = time.Now()
			return
		}
	}
}

func (r *stopRun) do(step stopStep) {
	r.t.Logf("%v %v %d", step.at.Round(time.Millisecond), step.action, step.target)
	switch step.action {
	case terminateGateway, terminateAgain, hangUpGateway, killGateway, startKilledGateway, pauseGateway, resumeGateway:
		r.doGateway(step.action, r.gateways[step.target])
	case changeLimits:
		r.changeLimits(step.target)
	case drainInstance:
		r.drainInstance(step.target)
	case crashInstance:
		r.crashInstanceAt(step.target)
	case killStorage, terminateStorage, wipeStorage, pauseStorage, returnStorage:
		r.doStorage(step.action, r.storage[step.target])
	case silenceStore:
		r.beginDisruption(coreMachine)
		r.store.SetMode(platformstore.Silent)
	case returnStore:
		r.store.SetMode(platformstore.Up)
		r.endDisruption(coreMachine)
	}
}

func (r *stopRun) doGateway(action stopAction, g *soakGateway) {
	switch action {
	case terminateGateway:
		g.life.terminate()
		r.stopping = append(r.stopping, g)
		stopped := g.life
		// The gateway may have returned at another address by then.
		r.after(r.plan.balancerDelay(), func() { r.takeAddress(stopped) })
	case terminateAgain:
		if !g.life.terminated.IsZero() {
			g.process.Terminate()
		}
	case hangUpGateway:
		if !g.process.HasEnded() {
			_ = syscall.Kill(g.process.PID(), syscall.SIGHUP)
		}
	case killGateway:
		r.beginDisruption(g.index)
		g.life.killed = time.Now()
		r.setAddress(g.index, "")
		g.process.Kill()
	case startKilledGateway:
		r.startGateway(g)
		r.endDisruption(g.index)
	case pauseGateway:
		r.beginDisruption(g.index)
		g.process.Pause(r.t)
	case resumeGateway:
		g.process.Resume()
		r.endDisruption(g.index)
	}
}

// balancerDelay is how long clients still open connections to a gateway that stops.
func (p *stopPlan) balancerDelay() time.Duration { return p.drainTimeout / 4 }

// takeAddress ends new connections to a process that stops.
func (s *soakSystem) takeAddress(life *gatewayLife) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.addresses[life.index] == life.address {
		s.addresses[life.index] = ""
	}
}

// changeLimits puts a configuration with other limits.
func (r *stopRun) changeLimits(choice int) {
	idle, header, body := []int{3000, 5000, 8000, 15000}, []int{1000, 2000, 3000}, []int{256 << 10, 512 << 10, 1 << 20}
	r.version++
	changed := map[string]any{}
	for name, value := range r.layout.configuration {
		changed[name] = value
	}
	changed["version"] = r.version
	changed["limits"] = map[string]any{
		"max_header_bytes": 16384, "idle_timeout_ms": idle[choice%4], "header_timeout_ms": header[choice/4%3], "max_body_bytes": body[choice/12%3],
	}
	r.store.Put("config", "main", changed)
}
