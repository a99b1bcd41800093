package integration

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// diskLossRecovery is the time after a restart of all in which each program goes on.
	diskLossRecovery = 15 * time.Second
	// diskLossLate is the time after which a program that hasn't gone on is taken for one that
	// never does, within the retention.
	diskLossLate = 45 * time.Second
	// diskLossRetention is that of the route.
	diskLossRetention = 60 * time.Second
)

// lossKind says what happens at the loss of a disk.
type lossKind struct {
	name string
	// killsAll is set if all other processes are killed at the same moment.
	killsAll bool
	// movesAway is set if an empty node at another address takes the place of the node.
	movesAway bool
}

// lossShape is the load and the size of a system that loses disks.
type lossShape struct {
	storageNodes, shards, gateways, programs int
	// lineTurns is the number of turns after which a client goes on with another program; zero for
	// never.
	lineTurns int
	// rate is the number of turns a second of all programs; zero for as fast as they can.
	rate float64
	// turnBytes is the least size of an input.
	turnBytes int
}

// diskLossSystem is a system that loses one disk after the other.
type diskLossSystem struct {
	*turnSoak
	shape lossShape
	// losses are the losses so far.
	losses []diskLoss
}

// diskLoss is the loss of one disk.
type diskLoss struct {
	node string
	// lost is when the process was killed; returned is when all processes ran again.
	lost, returned time.Time
}

func newDiskLossSystem(t *testing.T, seed uint64, shape lossShape) *diskLossSystem {
	t.Helper()
	configure := func(version int) map[string]any {
		return retainedRoutes(version, map[string]time.Duration{"/turns/": diskLossRetention})
	}
	s := &diskLossSystem{
		shape: shape, turnSoak: newTurnSoakWith(t, seed, shape.storageNodes, shape.gateways, configure, soakLayout{
			drainTimeout: 4 * time.Second, shards: shape.shards,
		}),
	}
	for range shape.programs / 8 {
		s.addInstance("v1")
	}
	for _, instance := range s.instances {
		instance.SetPause(0)
	}
	return s
}

// loseDisk kills the storage node, with all other processes or alone, loses its disk, and starts
// all again after the time.
func (s *diskLossSystem) loseDisk(index int, kind lossKind, down time.Duration) diskLoss {
	m := s.machines[index]
	loss := diskLoss{node: m.name, lost: time.Now()}
	if kind.killsAll {
		s.killAllAtOnce()
	} else {
		m.process.Kill()
	}
	time.Sleep(down)
	if kind.movesAway {
		s.machines[index] = s.newMachineIn(m.zone)
	} else {
		m.wipe(s.t)
	}
	s.startEnded()
	loss.returned = time.Now()
	s.losses = append(s.losses, loss)
	s.lostDisks++
	s.log("%s: %s lost its disk, all run again after %v", kind.name, m.name, loss.returned.Sub(loss.lost).Round(time.Millisecond))
	return loss
}

// killAllAtOnce kills all storage nodes and gateways.
func (s *diskLossSystem) killAllAtOnce() {
	var killing sync.WaitGroup
	for _, m := range s.machines {
		killing.Go(m.process.Kill)
	}
	for _, g := range s.gateways {
		s.setAddress(g.index, "")
		killing.Go(g.process.Kill)
	}
	killing.Wait()
}

// startEnded starts the processes that have ended.
func (s *diskLossSystem) startEnded() {
	for _, m := range s.machines {
		if m.process.HasEnded() {
			s.startMachine(m)
		}
	}
	for _, g := range s.gateways {
		if g.process.HasEnded() {
			s.startGateway(g)
		}
	}
	for _, instance := range s.instances {
		instance.ForgetRuns()
	}
}

// openedLine is a log line about a replica set that serves.
type openedLine struct {
	at                        time.Time
	shard, installed, members int
}

var openedField = regexp.MustCompile(`\b(shard|installed|members)=(\d+)`)

// openedLines returns the lines of all storage nodes in the order of time.
func (s *diskLossSystem) openedLines() []openedLine {
	var opened []openedLine
	for _, process := range s.processes {
		for text := range strings.Lines(process.Output()) {
			if !strings.Contains(text, "shard opened") {
				continue
			}
			if line, ok := parseOpened(text); ok {
				opened = append(opened, line)
			}
		}
	}
	slices.SortFunc(opened, func(a, b openedLine) int { return a.at.Compare(b.at) })
	return opened
}

func parseOpened(text string) (line openedLine, ok bool) {
	_, stamp, found := strings.Cut(text, "time=")
	if !found {
		return line, false
	}
	stamp, _, _ = strings.Cut(stamp, " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return line, false
	}
	line.at = at
	for _, field := range openedField.FindAllStringSubmatch(text, -1) {
		value, _ := strconv.Atoi(field[2])
		switch field[1] {
		case "shard":
			line.shard = value
		case "installed":
			line.installed = value
		case "members":
			line.members = value
		}
	}
	return line, true
}

// logRedundancy logs how long after the return from each loss the replica set of each shard was
// first installed at all members, and the shards for which no node told so before the next loss. A
// member that installs its shard later by itself tells nothing.
func (s *diskLossSystem) logRedundancy() {
	opened := s.openedLines()
	var spans []time.Duration
	partial := 0
	for index, loss := range s.losses {
		until := time.Now()
		if index+1 < len(s.losses) {
			until = s.losses[index+1].lost
		}
		best := make(map[int]openedLine)
		for _, line := range opened {
			if known, found := best[line.shard]; line.at.After(loss.lost) && line.at.Before(until) && (!found || known.installed < known.members) {
				best[line.shard] = line
			}
		}
		var parts []string
		for shard, line := range best {
			after := line.at.Sub(loss.returned)
			parts = append(parts, fmt.Sprintf("shard %d %d of %d %.1f s", shard, line.installed, line.members, after.Seconds()))
			if line.installed == line.members {
				spans = append(spans, after)
			} else {
				partial++
			}
		}
		slices.Sort(parts)
		s.log("loss %d, %s: replica sets until the next %.1f s later: %s", index+1, loss.node, until.Sub(loss.returned).Seconds(), strings.Join(parts, ", "))
	}
	if len(spans) > 0 {
		slices.Sort(spans)
		s.log("time to a whole replica set: %d values, %s; %d sets were told of in part", len(spans), describeSpans(spans), partial)
	}
}

// describeSpans returns quantiles of the spans, which are in order.
func describeSpans[T cmp.Ordered](spans []T) string {
	at := func(q float64) T { return spans[int(q*float64(len(spans)-1))] }
	return fmt.Sprintf("least %v, median %v, p90 %v, most %v", at(0), at(0.5), at(0.9), at(1))
}
