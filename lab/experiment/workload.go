package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
)

// The known workloads.
const (
	// IncidentBursts are reports that arrive in bursts and pull in the
	// histories of ten meters each, beside chains and branching programs.
	IncidentBursts = "incident-bursts"
	// LongConversations are long, repetitive dialogues with users, beside plans
	// that branch into sub-agents.
	LongConversations = "long-conversations"
)

// workload makes programs.
type workload struct {
	name    string
	tenants []tenantShare
	kinds   []kindShare
	// burst is the greatest number of programs that arrive together.
	burst int
	// burstSpan is the time over which a burst arrives.
	burstSpan time.Duration
	// deadline is the longest useful program latency without pauses.
	deadline time.Duration
	// idle is the time after which a silent program is ended.
	idle time.Duration
}

type tenantShare struct {
	name  string
	share float64
}

type kindShare struct {
	share float64
	make  func(*scriptMaker) *script
}

func findWorkload(name string) (workload, error) {
	switch name {
	case IncidentBursts:
		return incidentBursts(), nil
	case LongConversations:
		return longConversations(), nil
	}
	return workload{}, merry.Errorf("find workload %q: known are %s and %s", name, IncidentBursts, LongConversations)
}

// arrival is a program and when it starts.
type arrival struct {
	at     time.Duration
	script *script
}

// meanSamples is how many programs the mean demand is taken of.
const meanSamples = 4000

// meanDemand is the mean demand of the workload's programs.
func (w *workload) meanDemand(seed uint64) demand {
	var total demand
	for i := range uint64(meanSamples) {
		total.add(w.script(newScriptMaker(seed, i)).demand())
	}
	return demand{promptTokens: total.promptTokens / meanSamples, outputTokens: total.outputTokens / meanSamples}
}

// arrivals makes the programs that start before the end, as a Poisson process
// of bursts with the given mean rate of programs per second.
func (w *workload) arrivals(seed uint64, rate float64, end time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, math.MaxUint64))
	meanBurst := float64(1+w.burst) / 2
	var list []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * meanBurst / rate * float64(time.Second))
		if at >= end {
			return list
		}
		for range 1 + random.IntN(w.burst) {
			offset := time.Duration(random.Float64() * float64(w.burstSpan))
			made := w.script(newScriptMaker(seed, uint64(len(list))))
			list = append(list, arrival{at: at + offset, script: made})
		}
	}
}

func (w *workload) script(maker *scriptMaker) *script {
	maker.tenant = w.tenants[len(w.tenants)-1].name
	draw := maker.random.Float64()
	for _, tenant := range w.tenants {
		if draw < tenant.share {
			maker.tenant = tenant.name
			break
		}
		draw -= tenant.share
	}
	draw = maker.random.Float64()
	for _, kind := range w.kinds {
		if draw < kind.share {
			return kind.make(maker)
		}
		draw -= kind.share
	}
	return w.kinds[0].make(maker)
}
