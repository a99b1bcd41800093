package limit

import (
	"slices"
	"sync"
	"time"
)

// EjectionPolicy says when an engine is taken out and how it returns.
type EjectionPolicy struct {
	// SlowFactor is the ratio to the median of the fleet from which an engine is
	// ejected for slowness, where each engine's slowness is the ratio of a call's time
	// to its expected time.
	SlowFactor float64
	// Failures is the number of failed calls in a row after which an engine is
	// ejected.
	Failures int
	// FaultShare is the part of failed calls, as a moving average, at which an engine
	// is ejected; zero for none.
	FaultShare float64
	// MinSamples is the number of calls needed before an engine is judged by its
	// slowness or its FaultShare.
	MinSamples int
	// BaseTime is how long a first ejection lasts. It doubles with each one that
	// follows within MaxTime of the return, up to MaxTime.
	BaseTime time.Duration
	MaxTime  time.Duration
	// MaxFraction is the part of the engines that may be out at once, rounded down but
	// at least one where there are two or more. A fleet that is slow throughout is
	// overloaded, and ejecting from it makes that worse.
	MaxFraction float64
	// Probes is the number of calls that must succeed, one at a time, before an engine
	// returns.
	Probes int
}

// DefaultEjectionPolicy suits fleets of ten and more engines. Its figures are chosen,
// not measured.
func DefaultEjectionPolicy() EjectionPolicy {
	return EjectionPolicy{
		SlowFactor:  3,
		Failures:    5,
		MinSamples:  8,
		BaseTime:    10 * time.Second,
		MaxTime:     5 * time.Minute,
		MaxFraction: 0.3,
		Probes:      3,
	}
}

// EngineHealth is where an engine stands.
type EngineHealth int

// Healths of an engine.
const (
	// Healthy engines receive work.
	Healthy EngineHealth = iota
	// Ejected engines receive none.
	Ejected
	// Probed engines receive one call at a time.
	Probed
)

// Outcome is how one call went at an engine.
type Outcome struct {
	// Failed is set for errors of the engine itself, not for refusals.
	Failed bool
	// Expected is the time the call should have taken on a healthy engine of
	// this kind, with the queue that was there.
	Expected time.Duration
	// Took is the time it took.
	Took time.Duration
}

// slownessGain is the weight of a new sample in an engine's moving averages. Chosen,
// not measured.
const slownessGain = 0.2

// Ejector finds engines that are slow or failing compared with the others (outlier
// detection), takes them out, and lets them return after probes. It owns what it has
// observed of each engine.
type Ejector struct {
	policy EjectionPolicy

	mutex   sync.Mutex
	engines map[string]*engineHealth
}

type engineHealth struct {
	// slowness is the moving average of the ratio of time to expected time over the
	// samples, faults that of failed calls over those that ended.
	slowness float64
	samples  int
	faults   float64
	ended    int
	// failures counts failed calls in a row, ejections those that followed soon.
	failures  int
	ejections int
	health    EngineHealth
	// until is the end of an ejection. For a healthy engine it is when earlier
	// ejections are forgiven.
	until time.Time
	// succeeded counts probes; probing is set while one is under way, which is given
	// up at probeEnds.
	succeeded int
	probing   bool
	probeEnds time.Time
}

// NewEjector makes an ejector that knows no engine.
func NewEjector(policy EjectionPolicy) *Ejector {
	return &Ejector{policy: policy, engines: make(map[string]*engineHealth)}
}

// Observe records the outcome of a call and returns the engine's health.
func (e *Ejector) Observe(engine string, outcome Outcome, now time.Time) EngineHealth {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health := e.open(engine)
	health.advance(now)
	health.add(outcome, e.policy.SlowFactor)
	if health.health == Probed {
		e.probed(health, outcome, now)
		return health.health
	}
	if health.health == Healthy && e.isOutlier(health) && e.mayEject() {
		e.eject(health, now)
	}
	return health.health
}

// Health returns an engine's health. An engine that is Probed takes a call
// only where Probe says so.
func (e *Ejector) Health(engine string, now time.Time) EngineHealth {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health, known := e.engines[engine]
	if !known {
		return Healthy
	}
	health.advance(now)
	return health.health
}

// Probe claims the one call that a probed engine may have. The claim ends with
// Observe, or after the timeout.
func (e *Ejector) Probe(engine string, timeout time.Duration, now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health, known := e.engines[engine]
	if !known {
		return false
	}
	health.advance(now)
	if health.health != Probed || (health.probing && now.Before(health.probeEnds)) {
		return false
	}
	health.probing = true
	health.probeEnds = now.Add(timeout)
	return true
}

// Know counts an engine among the others before any of its calls has ended, so
// that the part that may be out at once is one of the whole fleet.
func (e *Ejector) Know(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.open(engine)
}

// Forget drops an engine that is gone.
func (e *Ejector) Forget(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.engines, engine)
}

func (e *Ejector) open(engine string) *engineHealth {
	health, known := e.engines[engine]
	if !known {
		health = &engineHealth{}
		e.engines[engine] = health
	}
	return health
}

// isOutlier tells whether an engine is to be ejected by what was observed of it.
func (e *Ejector) isOutlier(health *engineHealth) bool {
	if health.failures >= e.policy.Failures {
		return true
	}
	if e.policy.FaultShare > 0 && health.ended >= e.policy.MinSamples && health.faults >= e.policy.FaultShare {
		return true
	}
	if health.samples < e.policy.MinSamples {
		return false
	}
	return health.slowness > e.policy.SlowFactor*max(e.medianSlowness(), 1)
}

// medianSlowness is the median over the healthy engines with enough samples; zero
// without any.
func (e *Ejector) medianSlowness() float64 {
	var slowness []float64
	for _, health := range e.engines {
		if health.health == Healthy && health.samples >= e.policy.MinSamples {
			slowness = append(slowness, health.slowness)
		}
	}
	if len(slowness) == 0 {
		return 0
	}
	slices.Sort(slowness)
	return slowness[(len(slowness)-1)/2]
}

// mayEject tells whether MaxFraction allows another ejection.
func (e *Ejector) mayEject() bool {
	out := 0
	for _, health := range e.engines {
		if health.health != Healthy {
			out++
		}
	}
	allowed := int(e.policy.MaxFraction * float64(len(e.engines)))
	if len(e.engines) > 1 {
		allowed = max(allowed, 1)
	}
	return out < allowed
}

// eject takes the engine out, and forgets what was observed of it.
func (e *Ejector) eject(health *engineHealth, now time.Time) {
	pause := e.policy.BaseTime
	for range health.ejections {
		pause = min(2*pause, e.policy.MaxTime)
	}
	*health = engineHealth{health: Ejected, until: now.Add(pause), ejections: health.ejections + 1}
}

// probed records the outcome of a probe. A failed or slow one ejects the engine again,
// for longer.
func (e *Ejector) probed(health *engineHealth, outcome Outcome, now time.Time) {
	health.probing = false
	slow := outcome.Expected > 0 && outcome.Took.Seconds() > e.policy.SlowFactor*outcome.Expected.Seconds()
	if outcome.Failed || slow {
		e.eject(health, now)
		return
	}
	health.succeeded++
	if health.succeeded >= e.policy.Probes {
		*health = engineHealth{ejections: health.ejections, until: now.Add(e.policy.MaxTime)}
	}
}

// advance moves an ejected engine to its probes when its time is over, and forgives
// earlier ejections of an engine that was healthy for MaxTime.
func (h *engineHealth) advance(now time.Time) {
	if now.Before(h.until) {
		return
	}
	switch h.health {
	case Ejected:
		h.health = Probed
	case Healthy:
		h.ejections = 0
	}
}

// add records one outcome. A single call counts as at most twice the slowness that
// ejects, so that it takes several to eject an engine.
func (h *engineHealth) add(outcome Outcome, slowFactor float64) {
	h.ended++
	if outcome.Failed {
		h.failures++
		h.faults += slownessGain * (1 - h.faults)
		return
	}
	h.failures = 0
	h.faults -= slownessGain * h.faults
	if outcome.Expected <= 0 {
		return
	}
	ratio := min(outcome.Took.Seconds()/outcome.Expected.Seconds(), 2*slowFactor)
	h.samples++
	if h.samples == 1 {
		h.slowness = ratio
		return
	}
	h.slowness += slownessGain * (ratio - h.slowness)
}
