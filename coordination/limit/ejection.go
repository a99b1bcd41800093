package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// EjectionPolicy configures when an Ejector ejects an engine and how the engine returns.
type EjectionPolicy struct {
	// SlowFactor is the ratio of an engine's slowness to the fleet's median slowness above
	// which the engine is ejected. Slowness is the moving average of the ratio of a call's
	// time to its expected time.
	SlowFactor float64
	// ConsecutiveFailures is the number of consecutive failed calls after which an engine is ejected.
	ConsecutiveFailures int
	// FailureRate is the moving average of the fraction of failed calls at which an engine
	// is ejected. Zero disables this rule.
	FailureRate float64
	// MinSamples is the number of calls required before SlowFactor and FailureRate apply to
	// an engine.
	MinSamples int
	// BaseEjectionTime is the duration of a first ejection. It doubles with each ejection that
	// follows within MaxEjectionTime of the engine's return, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxEjectedFraction is the fraction of the engines that may be ejected or probed at once,
	// rounded down, but at least one engine if there are two or more. A fleet in which most
	// engines are slow is overloaded, and ejecting engines would increase the load on the
	// others. Once as many are out, an engine that fails takes the place of one that was only slow.
	MaxEjectedFraction float64
	// RequiredProbes is the number of probe calls, one at a time, that must succeed before an engine
	// returns.
	RequiredProbes int
}

// DefaultEjectionPolicy suits fleets of ten or more engines.
func DefaultEjectionPolicy() EjectionPolicy {
	return EjectionPolicy{
		SlowFactor:          3,
		ConsecutiveFailures: 5,
		MinSamples:          8,
		BaseEjectionTime:    10 * time.Second,
		MaxEjectionTime:     5 * time.Minute,
		MaxEjectedFraction:  0.3,
		RequiredProbes:      3,
	}
}

// EngineHealth is the state of an engine in an Ejector.
type EngineHealth int

// States of an engine.
const (
	// Healthy engines receive calls.
	Healthy EngineHealth = iota
	// Ejected engines receive no calls.
	Ejected
	// Probing engines receive one call at a time.
	Probing
)

// Outcome is the result of a call to an engine.
type Outcome struct {
	// Failed is set for errors of the engine, but not if it rejected the call.
	Failed bool
	// Unanswered is set if the call was given up without an answer.
	Unanswered bool
	// Expected is the time that a healthy engine of the same kind would have needed with
	// the same queue; zero if unknown.
	Expected time.Duration
	// Duration is the time that the call took.
	Duration time.Duration
}

// fault is why an engine is ejected.
type fault int

const (
	noFault fault = iota
	// slow engines answer later than the others.
	slow
	// failing engines answer calls with errors, or not at all.
	failing
)

// movingAverageWeight is the weight of a new sample in an engine's moving averages.
const movingAverageWeight = 0.2

// Ejector detects outliers: engines that are slow compared with the others or fail often.
// It ejects them and readmits them after successful probes.
type Ejector struct {
	policy EjectionPolicy

	mutex   sync.Mutex
	engines map[string]*engineRecord
}

// engineRecord holds the health and the statistics of an engine.
type engineRecord struct {
	// slowness is the moving average of the ratio of a call's time to its expected time,
	// over the successful calls with a known expected time, which samples counts.
	// failureRate is the moving average of the fraction of failed calls.
	slowness    float64
	samples     int
	failureRate float64
	calls       int
	// recentEjections counts the ejections since the engine was last healthy for
	// MaxEjectionTime.
	consecutiveFailures int
	recentEjections     int
	health              EngineHealth
	// ejectedFor is the fault of an engine that isn't healthy.
	ejectedFor fault
	// until is the end of an ejection. For a healthy engine it is when recentEjections is
	// reset.
	until time.Time
	// probeInFlight is set while a probe is claimed. The claim lapses at probeDeadline.
	successfulProbes int
	probeInFlight    bool
	probeDeadline    time.Time
}

// NewEjector returns an ejector without engines.
func NewEjector(policy EjectionPolicy) *Ejector {
	return &Ejector{policy: policy, engines: make(map[string]*engineRecord)}
}

// Observe records the outcome of a call and returns the engine's health.
func (e *Ejector) Observe(engine string, outcome Outcome, now time.Time) EngineHealth {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record := e.getOrCreate(engine)
	record.advance(now)
	record.observe(outcome, e.policy.SlowFactor)
	if record.health == Probing {
		e.recordProbe(record, outcome, now)
		return record.health
	}
	if record.health != Healthy {
		return record.health
	}
	if found := e.faultOf(record, outcome); found != noFault && e.makeRoom(found, now) {
		e.eject(record, found, now)
	}
	return record.health
}

// Health returns an engine's health; unknown engines are Healthy. A call may be sent to a
// Probing engine only after ClaimProbe returned true.
func (e *Ejector) Health(engine string, now time.Time) EngineHealth {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record, known := e.engines[engine]
	if !known {
		return Healthy
	}
	record.advance(now)
	return record.health
}

// ClaimProbe claims the single call that a Probing engine may receive, and reports whether it
// succeeded. Observe or the timeout ends the claim.
func (e *Ejector) ClaimProbe(engine string, timeout time.Duration, now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record, known := e.engines[engine]
	if !known || !record.mayProbe(now) {
		return false
	}
	record.probeInFlight = true
	record.probeDeadline = now.Add(timeout)
	return true
}

// MayProbe reports whether ClaimProbe would succeed.
func (e *Ejector) MayProbe(engine string, now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	record, known := e.engines[engine]
	return known && record.mayProbe(now)
}

// Add adds an engine before any of its calls has ended, so that MaxEjectedFraction
// refers to the whole fleet.
func (e *Ejector) Add(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.getOrCreate(engine)
}

// Remove removes an engine.
func (e *Ejector) Remove(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.engines, engine)
}

func (e *Ejector) getOrCreate(engine string) *engineRecord {
	record, known := e.engines[engine]
	if !known {
		record = &engineRecord{}
		e.engines[engine] = record
	}
	return record
}

// faultOf returns why an engine qualifies for ejection after the outcome, or noFault.
func (e *Ejector) faultOf(record *engineRecord, last Outcome) fault {
	switch {
	case record.consecutiveFailures >= e.policy.ConsecutiveFailures,
		e.policy.FailureRate > 0 && record.calls >= e.policy.MinSamples && record.failureRate >= e.policy.FailureRate:
		return failing
	case record.samples < e.policy.MinSamples, record.slowness <= e.policy.SlowFactor*max(e.medianSlowness(), 1):
		return noFault
	case last.Unanswered:
		return failing
	}
	return slow
}

// medianSlowness returns the median over the healthy engines with enough samples, or zero
// if there are none.
func (e *Ejector) medianSlowness() float64 {
	var slowness []float64
	for _, record := range e.engines {
		if record.health == Healthy && record.samples >= e.policy.MinSamples {
			slowness = append(slowness, record.slowness)
		}
	}
	if len(slowness) == 0 {
		return 0
	}
	slices.Sort(slowness)
	return slowness[(len(slowness)-1)/2]
}

// mayEject reports whether MaxEjectedFraction allows another ejection.
func (e *Ejector) mayEject() bool {
	ejected := 0
	for _, record := range e.engines {
		if record.health != Healthy {
			ejected++
		}
	}
	allowed := int(e.policy.MaxEjectedFraction * float64(len(e.engines)))
	if len(e.engines) > 1 {
		allowed = max(allowed, 1)
	}
	return ejected < allowed
}

// makeRoom reports whether an engine with the fault may be ejected. A failing engine takes the place
// of a slow one, whose answers are of use: otherwise one that fails each call would go on getting them.
func (e *Ejector) makeRoom(found fault, now time.Time) bool {
	if e.mayEject() {
		return true
	}
	replaced := e.firstSlow()
	if found != failing || replaced == nil {
		return false
	}
	e.readmit(replaced, now)
	return true
}

// firstSlow returns the engine that returns first of those that are out for being slow, or nil.
func (e *Ejector) firstSlow() (first *engineRecord) {
	for _, name := range slices.Sorted(maps.Keys(e.engines)) {
		record := e.engines[name]
		if record.health != Healthy && record.ejectedFor == slow && (first == nil || record.until.Before(first.until)) {
			first = record
		}
	}
	return first
}

// readmit ends the ejection of an engine.
func (e *Ejector) readmit(record *engineRecord, now time.Time) {
	*record = engineRecord{recentEjections: record.recentEjections, until: now.Add(e.policy.MaxEjectionTime)}
}

// eject ejects the engine and resets its statistics.
func (e *Ejector) eject(record *engineRecord, found fault, now time.Time) {
	duration := e.policy.BaseEjectionTime
	for range record.recentEjections {
		duration = min(2*duration, e.policy.MaxEjectionTime)
	}
	*record = engineRecord{health: Ejected, ejectedFor: found, until: now.Add(duration), recentEjections: record.recentEjections + 1}
}

// recordProbe records the outcome of a probe. A failed or slow probe ejects the engine
// again, for longer.
func (e *Ejector) recordProbe(record *engineRecord, outcome Outcome, now time.Time) {
	record.probeInFlight = false
	isSlow := outcome.Expected > 0 && outcome.Duration.Seconds() > e.policy.SlowFactor*outcome.Expected.Seconds()
	switch {
	case outcome.Failed, isSlow && outcome.Unanswered:
		e.eject(record, failing, now)
		return
	case isSlow:
		e.eject(record, slow, now)
		return
	}
	record.successfulProbes++
	if record.successfulProbes >= e.policy.RequiredProbes {
		e.readmit(record, now)
	}
}

// advance starts probing an engine whose ejection is over, and resets recentEjections of
// an engine that has been healthy for MaxEjectionTime.
func (r *engineRecord) advance(now time.Time) {
	if now.Before(r.until) {
		return
	}
	switch r.health {
	case Ejected:
		r.health = Probing
	case Healthy:
		r.recentEjections = 0
	}
}

// mayProbe reports whether the engine is Probing and no probe is in flight.
func (r *engineRecord) mayProbe(now time.Time) bool {
	r.advance(now)
	return r.health == Probing && (!r.probeInFlight || !now.Before(r.probeDeadline))
}

// observe records an outcome. The slowness of a single call is capped at twice SlowFactor,
// so that a single slow call doesn't eject an engine.
func (r *engineRecord) observe(outcome Outcome, slowFactor float64) {
	r.calls++
	if outcome.Failed {
		r.consecutiveFailures++
		r.failureRate += movingAverageWeight * (1 - r.failureRate)
		return
	}
	r.consecutiveFailures = 0
	r.failureRate -= movingAverageWeight * r.failureRate
	if outcome.Expected <= 0 {
		return
	}
	ratio := min(outcome.Duration.Seconds()/outcome.Expected.Seconds(), 2*slowFactor)
	r.samples++
	if r.samples == 1 {
		r.slowness = ratio
		return
	}
	r.slowness += movingAverageWeight * (ratio - r.slowness)
}
