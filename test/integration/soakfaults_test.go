package integration

import (
	"fmt"
	"time"

	"github.com/marblering/marblering/lab/platformstore"
)

// soakFault is a fault that begins at once, and ends when the returned function is called
// after the duration.
type soakFault struct {
	name     string
	begin    func(s *soakSystem) (end func())
	duration time.Duration
}

func soakFaults() []soakFault {
	return []soakFault{
		{"gateway killed", (*soakSystem).killGateway, 400 * time.Millisecond},
		{"gateway terminated", (*soakSystem).terminateGateway, 300 * time.Millisecond},
		{"gateway paused", (*soakSystem).pauseGateway, 900 * time.Millisecond},
		{"instance crashed", (*soakSystem).crashInstance, 700 * time.Millisecond},
		{"instance replaced by a newer version", (*soakSystem).replaceInstance, 500 * time.Millisecond},
		{"storage node killed", (*soakSystem).killStorage, 500 * time.Millisecond},
		{"store silent", (*soakSystem).silenceStore, time.Second},
	}
}

// inject injects faults one after the other, several at a time, until the time is over.
func (s *soakSystem) inject(span time.Duration) {
	type pending struct {
		at  time.Time
		end func()
	}
	var active []pending
	finish := func(now time.Time) {
		left := active[:0]
		for _, p := range active {
			if now.Before(p.at) {
				left = append(left, p)
				continue
			}
			p.end()
		}
		active = left
	}
	faults := soakFaults()
	for deadline := time.Now().Add(span); time.Now().Before(deadline); {
		finish(time.Now())
		if len(active) < soakMaxConcurrency {
			fault := faults[s.random.IntN(len(faults))]
			if end := fault.begin(s); end != nil {
				s.t.Logf("%s", fault.name)
				active = append(active, pending{time.Now().Add(fault.duration), end})
			}
		}
		time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	}
	finish(time.Now().Add(time.Hour))
}

// takeGateway takes a random gateway from the clients, unless it is the only one.
func (s *soakSystem) takeGateway() *soakGateway { return s.takeServingGateway(2) }

// takeServingGateway takes a random gateway from the clients if at least so many serve.
func (s *soakSystem) takeServingGateway(least int) *soakGateway {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var serving []*soakGateway
	for _, g := range s.gateways {
		if s.addresses[g.index] != "" {
			serving = append(serving, g)
		}
	}
	if len(serving) < least {
		return nil
	}
	taken := serving[s.random.IntN(len(serving))]
	s.addresses[taken.index] = ""
	taken.life.disturbed = append(taken.life.disturbed, time.Now())
	return taken
}

func (s *soakSystem) killGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	g.process.Kill()
	return func() { s.startGateway(g) }
}

func (s *soakSystem) terminateGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	g.process.Terminate()
	return func() {
		g.process.Wait(s.t)
		s.startGateway(g)
	}
}

// pauseGateway leaves the clients' open requests hanging.
func (s *soakSystem) pauseGateway() func() {
	g := s.takeGateway()
	if g == nil {
		return nil
	}
	address := g.process.WaitValue(s.t, "caller_address")
	g.process.Pause(s.t)
	return func() {
		if g.process.HasEnded() { // killed while it was paused
			s.startGateway(g)
			return
		}
		g.process.Resume()
		s.setAddress(g.index, address)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		g.life.disturbed = append(g.life.disturbed, time.Now())
	}
}

// crashInstance ends an instance whose entry stays for a while, and starts another one of
// its version.
func (s *soakSystem) crashInstance() func() {
	crashed := s.takeInstance()
	if crashed == nil {
		return nil
	}
	s.closeInstance(crashed)
	return func() {
		s.store.Remove("servers", crashed.Instance)
		s.addInstance(crashed.version)
	}
}

// replaceInstance starts an instance of the newest version, or of the next one, and drains
// another instance.
func (s *soakSystem) replaceInstance() func() {
	leaving := s.takeInstance()
	if leaving == nil {
		return nil
	}
	if s.random.IntN(4) == 0 {
		s.newest++
	}
	s.addInstance(fmt.Sprint("v", s.newest))
	s.putInstance(leaving, "draining")
	return func() {
		s.store.Remove("servers", leaving.Instance)
		s.closeInstance(leaving)
	}
}

func (s *soakSystem) killStorage() func() {
	m := s.storage[s.random.IntN(len(s.storage))]
	if m.process.HasEnded() {
		return nil
	}
	m.process.Kill()
	return func() { m.start(s.t) }
}

func (s *soakSystem) silenceStore() func() {
	s.store.SetMode(platformstore.Silent)
	return func() { s.store.SetMode(platformstore.Up) }
}
