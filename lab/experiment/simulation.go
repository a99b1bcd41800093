package experiment

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// simulation is one run of one policy.
type simulation struct {
	schedule   schedule
	deployment Deployment
	workload   workload
	policy     policy
	engines    []*simEngine
	nodes      []*simNode
	trees      []*tree
	programs   []*program
	report     *recorder
	// cutZone is the zone that is cut off; empty for none.
	cutZone string
	// failedOver is set once the callers of a cut zone's nodes have gone to
	// others.
	failedOver  bool
	lastAttempt uint64
	transfers   map[uint64]*attempt
}

// epoch is the wall time of the simulation's start. Decision packages want
// instants, and any will do.
var epoch = time.Unix(1_000_000_000, 0)

// wall is an instant as the decision packages take it.
func (s *simulation) wall(at time.Duration) time.Time { return epoch.Add(at) }

// trial is one cell of an experiment: a load, a fault and a policy.
type trial struct {
	deployment Deployment
	workload   workload
	seed       uint64
	// load is a multiple of the capacity, rate what it comes to in programs per
	// second.
	load     float64
	rate     float64
	fault    Fault
	duration time.Duration
	warmup   time.Duration
	policy   namedPolicy
}

// run simulates a trial.
func (t *trial) run() Result {
	s := &simulation{
		deployment: t.deployment,
		workload:   t.workload,
		transfers:  make(map[uint64]*attempt),
	}
	s.report = newRecorder(t)
	for i, spec := range t.deployment.Engines {
		s.engines = append(s.engines, newSimEngine(s, i, spec))
	}
	for i := range t.deployment.Nodes {
		s.nodes = append(s.nodes, newSimNode(s, i, t.seed))
	}
	s.policy = t.policy.make(s)
	for _, node := range s.nodes {
		node.startPolling()
	}
	for i, next := range t.workload.arrivals(t.seed, t.rate, t.duration) {
		s.schedule.at(next.at, func() { s.newTree(uint64(i), next.script) })
	}
	t.fault.plan(s, t)
	for s.schedule.step(t.duration + drainTime) {
	}
	return s.report.result(s)
}

// turnLimit is the number of calls after which a program is ended, so that
// loops end.
const turnLimit = 40

// drainTime is how long a run goes on after the last arrival, so that programs
// that have begun can end.
const drainTime = 10 * time.Minute

// home is the node that decides for a program tree: the preferred one, or the
// next after its callers have left a zone that is cut off.
func (s *simulation) home(root *tree) *simNode {
	first := int(xxhash.Sum64String(root.id) % uint64(len(s.nodes)))
	for i := range s.nodes {
		node := s.nodes[(first+i)%len(s.nodes)]
		if !s.failedOver || node.zone != s.cutZone {
			return node
		}
	}
	return s.nodes[first]
}

// cutOff says whether messages between two zones are lost.
func (s *simulation) cutOff(from, to string) bool {
	return s.cutZone != "" && from != to && (from == s.cutZone || to == s.cutZone)
}

// seconds makes a duration of a number of seconds.
func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }
