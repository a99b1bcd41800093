package integration

import (
	"time"

	"github.com/marblering/marblering/lab/platformstore"
)

// turnFault is a fault that begins at once, and ends when the returned function is called.
type turnFault struct {
	name  string
	begin func(s *turnSoak) (end func())
	// span is the longest duration of the fault.
	span time.Duration
}

// diskFaults are the faults of seeds that lose disks one after the other.
func diskFaults() []turnFault {
	return []turnFault{
		{"disk lost", (*turnSoak).wipeMachine, 600 * time.Millisecond},
		{"disk lost", (*turnSoak).wipeMachine, 50 * time.Millisecond},
		{"disk lost", (*turnSoak).wipeMachine, 2 * time.Second},
		{"storage node replaced", (*turnSoak).replaceMachine, time.Second},
		{"all killed", (*turnSoak).killAll, 500 * time.Millisecond},
		{"storage node killed", (*turnSoak).killMachine, 500 * time.Millisecond},
		{"gateway paused", func(s *turnSoak) func() { return s.pauseGateway() }, 4 * time.Second},
		{"store silent", disturbStore(platformstore.Silent), 2 * time.Second},
		{"configuration published", func(s *turnSoak) func() { s.publish(); return func() {} }, time.Millisecond},
	}
}

func turnFaults() []turnFault {
	return []turnFault{
		{"gateway killed", func(s *turnSoak) func() { return s.killGateway() }, 400 * time.Millisecond},
		{"gateway paused", func(s *turnSoak) func() { return s.pauseGateway() }, 3 * time.Second},
		{"storage node killed", (*turnSoak).killMachine, 2 * time.Second},
		{"storage node terminated", (*turnSoak).terminateMachine, 500 * time.Millisecond},
		{"storage node paused", (*turnSoak).pauseMachine, 3 * time.Second},
		{"disk lost", (*turnSoak).wipeMachine, time.Second},
		{"disk lost", (*turnSoak).wipeMachine, 100 * time.Millisecond},
		{"storage node replaced", (*turnSoak).replaceMachine, time.Second},
		{"all killed", (*turnSoak).killAll, 500 * time.Millisecond},
		{"store silent", disturbStore(platformstore.Silent), 3 * time.Second},
		{"store resets", disturbStore(platformstore.Reset), 3 * time.Second},
		{"store slow", (*turnSoak).slowStore, 3 * time.Second},
		{"store loses answers", (*turnSoak).loseAnswers, time.Second},
	}
}

func (s *turnSoak) killMachine() func() {
	m := s.takeMachine()
	if m == nil {
		return nil
	}
	m.process.Kill()
	return func() { s.startMachine(m) }
}

func (s *turnSoak) terminateMachine() func() {
	m := s.takeMachine()
	if m == nil {
		return nil
	}
	m.process.Terminate()
	return func() {
		m.process.Kill()
		s.startMachine(m)
	}
}

func (s *turnSoak) pauseMachine() func() {
	m := s.takeMachine()
	if m == nil {
		return nil
	}
	m.process.Pause(s.t)
	return func() {
		if m.process.HasEnded() {
			return
		}
		m.process.Resume()
		m.disturbed, m.returned = false, time.Now()
	}
}

func (s *turnSoak) wipeMachine() func() {
	if !s.mayLoseDisk() {
		return nil
	}
	s.lostDisks++
	m := s.takeMachine()
	m.process.Kill()
	m.wipe(s.t)
	return func() { s.startMachine(m) }
}

// replaceMachine removes a storage node for good and starts an empty one at another address.
func (s *turnSoak) replaceMachine() func() {
	if !s.mayLoseDisk() {
		return nil
	}
	s.lostDisks++
	m := s.takeMachine()
	m.process.Kill()
	return func() {
		for index, known := range s.machines {
			if known == m {
				s.machines[index] = s.newMachine()
			}
		}
	}
}

// killAll kills all processes that are running, and starts them in a random order.
func (s *turnSoak) killAll() func() {
	var machines []*turnMachine
	for m := s.takeMachine(); m != nil; m = s.takeMachine() {
		machines = append(machines, m)
	}
	var gateways []*soakGateway
	s.mutex.Lock()
	for _, g := range s.gateways {
		if s.addresses[g.index] != "" {
			s.addresses[g.index] = ""
			gateways = append(gateways, g)
		}
	}
	s.mutex.Unlock()
	for _, m := range machines {
		m.process.Kill()
	}
	for _, g := range gateways {
		g.process.Kill()
	}
	return func() {
		for _, m := range machines {
			s.startMachine(m)
			time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
		}
		for _, g := range gateways {
			s.startGateway(g)
		}
	}
}

func disturbStore(mode platformstore.Mode) func(*turnSoak) func() {
	return func(s *turnSoak) func() {
		s.store.SetMode(mode)
		return func() { s.store.SetMode(platformstore.Up) }
	}
}

func (s *turnSoak) slowStore() func() {
	s.store.SetDelay(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	return func() { s.store.SetDelay(0) }
}

func (s *turnSoak) loseAnswers() func() {
	s.store.LoseAnswers(1 + s.random.IntN(5))
	return func() { s.store.LoseAnswers(0) }
}

// inject injects faults, up to soakMaxConcurrency at a time, until the time is over, and
// ends all of them.
func (s *turnSoak) inject(span time.Duration) {
	type pending struct {
		name string
		at   time.Time
		end  func()
	}
	var active []pending
	finish := func(now time.Time) {
		var left []pending
		for _, p := range active {
			if now.Before(p.at) {
				left = append(left, p)
				continue
			}
			began := time.Now()
			p.end()
			s.log("%s ended, in %v", p.name, time.Since(began).Round(time.Millisecond))
		}
		active = left
	}
	faults, concurrency, quiet := turnFaults(), 1+s.random.IntN(soakMaxConcurrency), 0.2
	pause := 200 + s.random.Int64N(1500) // milliseconds
	if s.seed%2 == 0 {
		faults, concurrency, quiet = diskFaults(), 2, 0.6
	}
	faults = append(faults, s.moreFaults...)
	quietUntil := time.Time{}
	for deadline := time.Now().Add(span); time.Now().Before(deadline); {
		finish(time.Now())
		if time.Now().After(quietUntil) && len(active) < concurrency {
			fault := faults[s.random.IntN(len(faults))]
			if end := fault.begin(s); end != nil {
				duration := time.Duration(1 + s.random.Int64N(int64(fault.span)))
				s.log("%s for %v", fault.name, duration.Round(time.Millisecond))
				active = append(active, pending{fault.name, time.Now().Add(duration), end})
			}
			if s.random.Float64() < quiet {
				// Long enough that the next fault may be the loss of a disk.
				quietUntil = time.Now().Add(*turnSoakCatchUp + time.Duration(s.random.IntN(800))*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(s.random.Int64N(pause)) * time.Millisecond)
	}
	finish(time.Now().Add(time.Hour))
}
