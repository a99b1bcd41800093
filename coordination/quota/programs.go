package quota

import (
	"time"

	"github.com/marblering/marblering/coordination/limit"
)

const (
	// programEndTimeout is the time without a request after which a program is considered
	// ended: several times the length of a usual tool call.
	programEndTimeout = 2 * time.Second
	// programActiveTime is how long after its last request a program is expected to make
	// another. It is shorter than programEndTimeout, so that programs that have ended
	// don't keep new ones out until then.
	programActiveTime = 600 * time.Millisecond
	// minProgramDuration is the shortest duration that a request rate is computed from.
	minProgramDuration = 200 * time.Millisecond
	// kindAverageWeight is the weight of the newest program in the moving averages of its
	// kind.
	kindAverageWeight = 0.1
	// sweepInterval is the interval between two searches for ended programs.
	sweepInterval = 250 * time.Millisecond
)

// programTracker tracks one tenant's programs at one slot, to predict whether the rate can
// sustain a new program to its end. A program that is cut off midway has wasted its permits,
// and with requests refused at random nearly every program is cut off.
type programTracker struct {
	active    map[string]*activeProgram
	kinds     map[string]*programKind
	lastSweep time.Time
}

// activeProgram is a running program.
type activeProgram struct {
	kind string
	// requests is the number of its admitted requests.
	requests int
	// refused is set when a request of the program is refused. The number of requests that
	// the program needs is unknown then.
	refused bool
	// began and lastRequest are the times of its first and its latest admitted request.
	began, lastRequest time.Time
}

// programKind holds the average demand of a kind's ended programs, as moving averages.
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

// recordAdmitted records an admitted request.
func (p *programTracker) recordAdmitted(program, kind string, now time.Time) {
	active, found := p.active[program]
	if !found {
		active = &activeProgram{kind: kind, began: now}
		p.active[program] = active
	}
	active.requests++
	active.lastRequest = now
}

// recordRefused records a refused request of a running program.
func (p *programTracker) recordRefused(program string) {
	if active, found := p.active[program]; found {
		active.refused = true
	}
}

// sweep removes ended programs and updates the averages of their kinds.
func (p *programTracker) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for name, active := range p.active {
		if now.Sub(active.lastRequest) < programEndTimeout {
			continue
		}
		delete(p.active, name)
		if !active.refused {
			p.updateKind(active)
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

// canAdmit reports whether the rate can sustain a new program of the kind to its end along
// with the running programs: the sum of their request rates must not exceed the rate plus
// what the level adds to it over the program's duration. It compares rates rather than
// totals, since permits for later requests are granted later. A program of an unknown kind
// is admitted.
func (p *programTracker) canAdmit(kind string, rate limit.Rate, level float64, now time.Time) bool {
	known, found := p.kinds[kind]
	if !found {
		return true
	}
	requestRate := known.requestRate()
	for _, active := range p.active {
		if activeKind, found := p.kinds[active.kind]; found && now.Sub(active.lastRequest) < programActiveTime {
			requestRate += activeKind.requestRate()
		}
	}
	return requestRate <= rate.TokensPerSecond+level/known.seconds()
}

// seconds returns the average duration of programs of the kind, at least
// minProgramDuration.
func (k *programKind) seconds() float64 { return max(k.duration, minProgramDuration).Seconds() }

// requestRate returns the average requests per second of a program of the kind.
func (k *programKind) requestRate() float64 { return k.requests / k.seconds() }
