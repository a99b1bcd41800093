package experiment

import (
	"math"

	"github.com/marblering/marblering/lab/engine"
)

// capacityWeights are the engines' rates of serving the workload.
func capacityWeights(s *simulation) []float64 {
	mean := s.workload.meanDemand(0)
	weights := make([]float64, len(s.engines))
	for i, e := range s.engines {
		weights[i] = 1 / programSeconds(e.spec.Generation, mean)
	}
	return weights
}

// leastOutstanding takes the engine with the least work ahead in relation to
// its capacity. It knows its own node's calls exactly and the others' from the
// reported load.
type leastOutstanding struct {
	passive
	weights []float64
}

func newLeastOutstanding(s *simulation) policy {
	return &leastOutstanding{weights: capacityWeights(s)}
}

func (p *leastOutstanding) choose(_ *simulation, n *simNode, c *call) choice {
	best := leastLoaded(n, c, p.weights)
	if best == noEngine {
		return refuse(retryPause)
	}
	return choice{engine: best, source: noEngine, work: fullWork(c)}
}

// leastLoaded returns the usable engine with the least outstanding requests,
// the new one included, in relation to its capacity. Ties go to a random one.
func leastLoaded(n *simNode, c *call, weights []float64) int {
	best := noEngine
	least := math.Inf(1)
	ties := 0
	for i, weight := range weights {
		if !n.usable(c, i) {
			continue
		}
		load := (float64(n.outstanding(i)) + 1) / weight
		switch {
		case load < least:
			best, least, ties = i, load, 1
		case load == least:
			ties++
			if n.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// outstanding is the number of requests at an engine: the node's own, which it
// knows, and those of others in the last report.
func (n *simNode) outstanding(index int) int {
	state := &n.states[index]
	own := n.ledger.Pending(state.Name, state.ReportedAt)
	return own.InFlight.Requests + max(state.Running+state.Waiting-own.AtReport.Requests, 0)
}

// sessionAffinity keeps a program on the engine of its first call, which is the
// least loaded one, and holds its context there. A program moves to the least
// loaded engine when its own can't be used or has more than spillFactor times
// that one's work ahead.
type sessionAffinity struct {
	passive
	weights []float64
	engines map[string]int
}

const (
	// minSpill is the number of requests up to which an engine never spills.
	minSpill = 4
	// spillFactor gave the best latency of the factors tried, from 1.2 to 5, and
	// without a bound; see docs/design/experiment.md.
	spillFactor = 5
)

func newSessionAffinity(s *simulation) policy {
	return &sessionAffinity{weights: capacityWeights(s), engines: make(map[string]int)}
}

func (p *sessionAffinity) choose(_ *simulation, n *simNode, c *call) choice {
	least := leastLoaded(n, c, p.weights)
	if least == noEngine {
		return refuse(retryPause)
	}
	chosen, known := p.engines[c.program.id]
	if !known || !n.usable(c, chosen) || p.spills(n, chosen, least) {
		chosen = least
		p.engines[c.program.id] = chosen
	}
	return choice{engine: chosen, source: noEngine, hold: true, work: fullWork(c)}
}

func (p *sessionAffinity) spills(n *simNode, own, least int) bool {
	requests := n.outstanding(own)
	if requests < minSpill {
		return false
	}
	ownLoad := float64(requests+1) / p.weights[own]
	leastLoad := float64(n.outstanding(least)+1) / p.weights[least]
	return ownLoad > spillFactor*leastLoad
}

// finished gives back what other engines still hold of a program that moved.
func (p *sessionAffinity) finished(s *simulation, a *attempt, _ engine.Usage) {
	s.releaseAll(a.call.program, a.engine.index)
}

func (p *sessionAffinity) ended(_ *simulation, ended *program) {
	delete(p.engines, ended.id)
}
