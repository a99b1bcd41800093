package integration

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/platformstore"
)

var (
	lossSoakSeeds  = flag.Int("losssoak.seeds", 1, "number of seeds of TestShardsOutliveLossesInAnyOrder")
	lossSoakFirst  = flag.Uint64("losssoak.first", 1, "first of these seeds")
	lossSoakLosses = flag.Int("losssoak.losses", 3, "number of disks lost for each seed")
)

const (
	// lossSoakDown is the longest time for which a node that loses its disk is down.
	lossSoakDown = 2 * time.Second
	// lossSoakMoreTime is the longest time from when a disk may be lost to when it is.
	lossSoakMoreTime = 2 * time.Second
	// lossSoakDisturbances is the greatest number of other faults between two losses.
	lossSoakDisturbances = 3
	// lossSoakDisturbed is the longest time that such a fault lasts.
	lossSoakDisturbed = 700 * time.Millisecond
	// lossSoakRetirement is the time allowed for a retirement once all nodes run.
	lossSoakRetirement = 60 * time.Second
)

// lossSoak is a system that loses disks in a random order, beside other faults and changes.
type lossSoak struct {
	*diskLossSystem
	clients *lossClients
	// retiring are the storage nodes that are ordered to leave.
	retiring []*turnMachine
}

func newLossSoak(t *testing.T, seed uint64) *lossSoak {
	t.Helper()
	shapes := []lossShape{
		{storageNodes: 3, shards: 2, gateways: 1, programs: 40},
		{storageNodes: 3, shards: 4, gateways: 2, programs: 40, rate: 110, turnBytes: 1500, lineTurns: 40},
		{storageNodes: 4, shards: 4, gateways: 2, programs: 40, rate: 220, turnBytes: 1500, lineTurns: 40},
		{storageNodes: 3, shards: 4, gateways: 2, programs: 24, lineTurns: 40, turnBytes: 400},
		{storageNodes: 8, shards: 8, gateways: 2, programs: 40, rate: 220, turnBytes: 1500, lineTurns: 20},
	}
	s := &lossSoak{diskLossSystem: newDiskLossSystem(t, seed, shapes[seed%uint64(len(shapes))])}
	s.log("%+v", s.shape)
	s.clients = newLossClients(s.diskLossSystem)
	s.clients.awaitContinued(time.Now(), diskLossRecovery)
	return s
}

// TestShardsOutliveLossesInAnyOrder guards against shards that serve nothing any more, and against
// turns that are unknown within their retention, while disks are lost one after the other, nodes
// are replaced, added and retired, and processes and the store fail.
func TestShardsOutliveLossesInAnyOrder(t *testing.T) {
	for index := range *lossSoakSeeds {
		seed := *lossSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newLossSoak(t, seed)
			for range *lossSoakLosses {
				s.disturb()
				s.awaitTolerance()
				s.clients.hold(true)
				kind, down := s.drawKind(), time.Duration(s.random.Int64N(int64(lossSoakDown)))
				loss := s.loseDisk(s.drawMachine(), kind, down)
				s.checkRecovery(s.clients, loss)
				s.clients.hold(false)
			}
			s.store.SetMode(platformstore.Up)
			s.awaitRetirements()
			s.clients.stop()
			s.checkFinished(s.clients)
			s.logRedundancy()
			s.clients.report()
			assert.Assert(t, s.clients.whole > 0)
		})
	}
}

func (s *lossSoak) drawKind() lossKind {
	kinds := []lossKind{
		powerLoss, powerLoss, {name: "disk lost"}, {name: "node replaced", movesAway: true},
		{name: "all killed and node replaced", killsAll: true, movesAway: true},
	}
	return kinds[s.random.IntN(len(kinds))]
}

// drawMachine returns the index of the storage node that has kept its disk the longest, or of any.
func (s *lossSoak) drawMachine() int {
	if s.random.IntN(3) == 0 {
		return s.random.IntN(len(s.machines))
	}
	return slices.Index(s.machines, slices.MinFunc(s.machines, func(a, b *turnMachine) int { return a.emptied.Compare(b.emptied) }))
}

// awaitTolerance waits until all storage nodes have run long enough for another disk to be lost.
func (s *lossSoak) awaitTolerance() {
	for _, m := range s.machines {
		time.Sleep(time.Until(m.returned.Add(*turnSoakCatchUp)))
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(lossSoakMoreTime))))
}

// disturb injects some faults by which no disk is lost.
func (s *lossSoak) disturb() {
	faults := []turnFault{
		{"gateway killed", func(s *turnSoak) func() { return s.killGateway() }, lossSoakDisturbed},
		{"gateway terminated", func(s *turnSoak) func() { return s.stopGateway() }, lossSoakDisturbed},
		{"storage node killed", (*turnSoak).killMachine, lossSoakDisturbed},
		{"storage node terminated", (*turnSoak).terminateMachine, lossSoakDisturbed},
		{"store silent", disturbStore(platformstore.Silent), lossSoakDisturbed},
		{"store loses answers", (*turnSoak).loseAnswers, lossSoakDisturbed},
		{"configuration published", func(s *turnSoak) func() { s.publish(); return func() {} }, time.Millisecond},
		{"retirement", func(*turnSoak) func() { return s.retire() }, time.Millisecond},
	}
	for range s.random.IntN(lossSoakDisturbances + 1) {
		s.removeRetired()
		fault := faults[s.random.IntN(len(faults))]
		end := fault.begin(s.turnSoak)
		if end == nil {
			continue
		}
		s.log("%s", fault.name)
		time.Sleep(time.Duration(s.random.Int64N(int64(fault.span))))
		end()
	}
	s.removeRetired()
}

// stopGateway stops a gateway whose address the clients have until its process is gone.
func (s *turnSoak) stopGateway() func() {
	g := s.gateways[s.random.IntN(len(s.gateways))]
	g.process.Terminate()
	return func() {
		g.process.Wait(s.t)
		s.setAddress(g.index, "")
		s.startGateway(g)
	}
}

// retire adds a storage node and orders another one of its zone to leave, unless one is leaving.
func (s *lossSoak) retire() func() {
	if len(s.retiring) > 0 {
		return nil
	}
	leaving := s.machines[s.random.IntN(len(s.machines))]
	s.machines = append(s.machines, s.newMachineIn(leaving.zone))
	s.retiring = append(s.retiring, leaving)
	s.store.Put("retirements", leaving.name, map[string]any{"duration_s": 10})
	return func() {}
}

// removeRetired takes the storage nodes away whose retirement is completed, and their disks.
func (s *lossSoak) removeRetired() {
	s.retiring = slices.DeleteFunc(s.retiring, func(leaving *turnMachine) bool {
		if object, _ := s.store.Get("retirements", leaving.name); !strings.Contains(string(object.Status), "completed") {
			return false
		}
		s.log("%s is retired", leaving.name)
		leaving.process.Kill()
		leaving.wipe(s.t)
		s.machines = slices.DeleteFunc(s.machines, func(m *turnMachine) bool { return m == leaving })
		return true
	})
}

// awaitRetirements checks that the storage nodes that are ordered to leave do so. One that was
// replaced can't.
func (s *lossSoak) awaitRetirements() {
	s.t.Helper()
	for deadline := time.Now().Add(lossSoakRetirement); ; time.Sleep(100 * time.Millisecond) {
		s.removeRetired()
		s.retiring = slices.DeleteFunc(s.retiring, func(leaving *turnMachine) bool { return !slices.Contains(s.machines, leaving) })
		if len(s.retiring) == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.clients.note("the retirement of %s isn't completed after %v", s.retiring[0].name, lossSoakRetirement)
			return
		}
	}
}
