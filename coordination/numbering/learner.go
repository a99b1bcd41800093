package numbering

import (
	"sync"
	"sync/atomic"
)

const (
	// observedRuns is the number of the newest runs of a software version that count.
	observedRuns = 32
	// minFirst is the number of runs that show where a version's runs begin.
	minFirst = 2
	// sureRuns is the number of runs that make a step sure.
	sureRuns = 3
	// minUneven is the number of runs with steps that differ which show that steps vary, if they are at
	// least unevenShare of those that have two steps.
	minUneven   = 8
	unevenShare = 0.6
	// maxVersions bounds the software versions that are kept.
	maxVersions = 256
)

// Version identifies a software version of a service.
type Version struct {
	Service, Software string
}

// Learner learns how the runs of each software version are numbered, from its newest ones: where more than
// half of them begin, and by which step they rise. Until they show otherwise, events are counted one by one.
// Steps vary if they do in most runs. So faulty runs change nothing unless most are, and a version with
// another numbering is soon known. It is safe for concurrent use.
type Learner struct {
	versions sync.Map // of *learned by Version
	mutex    sync.Mutex
	// order has the versions that are kept, the oldest first.
	order []Version
}

// learned is what is known of a software version.
type learned struct {
	scheme atomic.Pointer[Scheme]
	mutex  sync.Mutex
	// runs are the newest ones, in a ring; seen counts all.
	runs [observedRuns]observation
	seen int
}

// Scheme returns how the runs of the version are numbered, as far as it is known.
func (l *Learner) Scheme(version Version) Scheme {
	if known, ok := l.versions.Load(version); ok {
		if scheme := known.(*learned).scheme.Load(); scheme != nil {
			return *scheme
		}
	}
	return Scheme{Step: assumed().step}
}

// Observe notes a run that began at its first event, as far as it was received.
func (l *Learner) Observe(version Version, run *Run) {
	if run.first == "" {
		return
	}
	l.of(version).observe(run.observed())
}

func (l *Learner) of(version Version) *learned {
	if known, ok := l.versions.Load(version); ok {
		return known.(*learned)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.versions.LoadOrStore(version, &learned{})
	if found {
		return known.(*learned)
	}
	l.order = append(l.order, version)
	if len(l.order) > maxVersions {
		l.versions.Delete(l.order[0])
		l.order = l.order[1:]
	}
	return known.(*learned)
}

func (l *learned) observe(run observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[l.seen%observedRuns] = run
	l.seen++
	newest := append([]observation{assumed()}, l.runs[:min(l.seen, observedRuns)]...)
	scheme := Scheme{First: commonFirst(newest[1:]), Varies: isVarying(newest)}
	if !scheme.Varies {
		scheme.Step, scheme.IsSure = commonStep(newest)
	}
	l.scheme.Store(&scheme)
}

// assumed is what counts beside the runs of each version: that their events are counted one by one.
func assumed() observation { return observation{step: 1, steps: 1} }

// commonFirst returns the number at which more than half of the runs begin.
func commonFirst(runs []observation) Number {
	counts := make(map[Number]int)
	for _, run := range runs {
		counts[run.first]++
	}
	for first, count := range counts {
		if count >= minFirst && isMajority(count, len(runs)) {
			return first
		}
	}
	return ""
}

// commonStep returns the step of more than half of the runs that have steps. It is sure if at least sureRuns
// have been seen to have it.
func commonStep(runs []observation) (step uint64, isSure bool) {
	counts, all := make(map[uint64]int), 0
	for _, run := range runs {
		if run.steps > 0 {
			counts[run.step]++
			all++
		}
	}
	for step, count := range counts {
		if isMajority(count, all) {
			return step, count > sureRuns || count == sureRuns && step != assumed().step
		}
	}
	return 0, false
}

func isMajority(count, all int) bool { return 2*count > all }

// isVarying reports whether the steps of most runs differ.
func isVarying(runs []observation) bool {
	uneven, all := 0, 0
	for _, run := range runs {
		if run.steps < 2 {
			continue
		}
		all++
		if run.isUneven {
			uneven++
		}
	}
	return uneven >= minUneven && float64(uneven) >= unevenShare*float64(all)
}
