package limit

import (
	"slices"
	"sync"
	"time"
)

// EjectionPolicy says when an engine is taken out and how it returns.
type EjectionPolicy struct {
	// SlowFactor is how many times slower than the median of the fleet,
	// relative to its own expected time, an engine must be.
	SlowFactor float64
	// Failures in a row after which an engine is ejected.
	Failures int
	// FaultShare of the calls, as a moving average, at which an engine is
	// ejected; zero for none.
	FaultShare float64
	// MinSamples of an engine are needed before it is called slow.
	MinSamples int
	// BaseTime of an ejection; it doubles with each one that follows soon.
	BaseTime time.Duration
	// MaxTime of an ejection.
	MaxTime time.Duration
	// MaxFraction of the engines may be out at once, rounded down but at least
	// one where there are two or more. A fleet that is slow throughout is
	// overloaded, and ejecting from it makes that worse.
	MaxFraction float64
	// Probes that must succeed, one at a time, before an engine returns.
	Probes int
}

// DefaultEjectionPolicy suits fleets of ten and more engines.
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

// slownessGain is the weight of a new sample in an engine's moving averages.
const slownessGain = 0.2

// Ejector finds engines that are slow or failing compared with the others
// (outlier detection) and lets them return carefully.
type Ejector struct {
	policy EjectionPolicy

	mutex   sync.Mutex
	engines map[string]*engineHealth
}

type engineHealth struct {
	slowness  float64
	samples   int
	faults    float64
	ended     int
	failures  int
	ejections int
	health    EngineHealth
	until     time.Time
	succeeded int
	probing   bool
	probeEnds time.Time
}

// NewEjector makes an ejector that knows no engine.
func NewEjector(policy EjectionPolicy) *Ejector {
	return &Ejector{policy: policy, engines: make(map[string]*engineHealth)}
}

// Observe takes in the outcome of a call and returns the engine's health.
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

// medianSlowness is that of the healthy engines that have been measured.
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

func (e *Ejector) eject(health *engineHealth, now time.Time) {
	pause := e.policy.BaseTime
	for range health.ejections {
		pause = min(2*pause, e.policy.MaxTime)
	}
	*health = engineHealth{health: Ejected, until: now.Add(pause), ejections: health.ejections + 1}
}

// probed takes in the outcome of a probe: one bad one ejects again, for longer.
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

// advance moves an ejected engine to its probes when its time is over, and
// forgives earlier ejections after a long healthy time.
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

// add takes in one outcome. A single call says at most twice what makes an
// engine slow, so that it takes several to eject one.
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
