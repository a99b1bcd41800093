package quota

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

const (
	// programEndTimeout is how long after its last request a program counts as ended: a few
	// times the pauses for tools. Chosen, not measured.
	programEndTimeout = 2 * time.Second
	// programActiveTime is how long after its last request a program is expected to make
	// another: a few times the usual pause, and shorter than programIdle, so that
	// programs that have ended don't keep others away until then. Chosen, not
	// measured.
	programActiveTime = 600 * time.Millisecond
	// minProgramDuration is the shortest duration that a pace is computed from. Chosen,
	// not measured.
	minProgramDuration = 200 * time.Millisecond
	// kindAverageWeight is the weight of the newest program in the moving averages of its kind.
	// Chosen, not measured.
	kindAverageWeight = 0.1
	// sweepInterval is the pause between two searches for programs that have ended.
	// Chosen, not measured.
	sweepInterval = 250 * time.Millisecond
)

// programTracker are those of one tenant at one slot. They tell whether the rate can carry a
// new program to its end: one that is cut off in its middle has used its permits in
// vain, and one whose requests are refused by lot is almost surely cut off.
type programTracker struct {
	active    map[string]*activeProgram
	kinds     map[string]*programKind
	lastSweep time.Time
}

// activeProgram is a program that has begun.
type activeProgram struct {
	kind string
	// requests is the number of its requests.
	requests int
	// refused is set once a request was refused: how many it would have made isn't
	// known then.
	refused bool
	// began and lastRequest are the times of its first and its newest request.
	began, lastRequest time.Time
}

// programKind is what programs of a kind need: moving averages over those that ended.
type programKind struct {
	requests float64
	duration time.Duration
}

func newProgramTracker() *programTracker {
	return &programTracker{active: make(map[string]*activeProgram), kinds: make(map[string]*programKind)}
}

func (p *programTracker) has(program string) bool {
	_, found := p.active[program]
	return found
}

// recordAdmitted records a request that is let in.
func (p *programTracker) recordAdmitted(program, kind string, now time.Time) {
	one, found := p.active[program]
	if !found {
		one = &activeProgram{kind: kind, began: now}
		p.active[program] = one
	}
	one.requests++
	one.lastRequest = now
}

// recordRefused records a refused request of a program that has begun.
func (p *programTracker) recordRefused(program string) {
	if one, found := p.active[program]; found {
		one.refused = true
	}
}

// sweep forgets programs that have ended, and learns from them.
func (p *programTracker) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for name, one := range p.active {
		if now.Sub(one.lastRequest) < programEndTimeout {
			continue
		}
		delete(p.active, name)
		if !one.refused {
			p.updateKind(one)
		}
	}
}

func (p *programTracker) updateKind(ended *activeProgram) {
	took := ended.lastRequest.Sub(ended.began)
	known, found := p.kinds[ended.kind]
	if !found {
		p.kinds[ended.kind] = &programKind{requests: float64(ended.requests), duration: took}
		return
	}
	known.requests += kindAverageWeight * (float64(ended.requests) - known.requests)
	known.duration += time.Duration(kindAverageWeight * float64(took-known.duration))
}

// canAdmit tells whether the rate can carry a new program of the kind to its end beside
// those that have begun: the sum of their paces must not exceed the rate and what the
// level adds to it over the program's duration. Paces are compared rather than sums of
// requests, since what programs use later is granted later. A program of a kind that
// isn't known yet is let in.
func (p *programTracker) canAdmit(kind string, rate limit.Rate, level float64, now time.Time) bool {
	known, found := p.kinds[kind]
	if !found {
		return true
	}
	pace := known.requestRate()
	for _, one := range p.active {
		if underWay, found := p.kinds[one.kind]; found && now.Sub(one.lastRequest) < programActiveTime {
			pace += underWay.requestRate()
		}
	}
	return pace <= rate.TokensPerSecond+level/known.seconds()
}

// seconds is how long a program of the kind takes, shortestProgram at least.
func (k *programKind) seconds() float64 { return max(k.duration, minProgramDuration).Seconds() }

// requestRate is how many requests a second a program of the kind makes on average.
func (k *programKind) requestRate() float64 { return k.requests / k.seconds() }
