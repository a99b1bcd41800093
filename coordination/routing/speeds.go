package routing

import (
	"sync"
	"time"
)

// speedGain is the weight of a new observation in the moving average.
const speedGain = 0.2

// Shortest pieces of work a speed is learned from, in tokens; shorter ones
// measure overheads.
const (
	minPrefillSample = 64
	minDecodeSample  = 8
)

// Speed is what was learned of one engine; zero means nothing yet.
type Speed struct {
	// Prefill and Decode are in tokens per second of one request.
	Prefill float64
	Decode  float64
	// Step is the time of an output token by the number of requests.
	Step StepTime
	// IdleStep is the time of an output token on the idle engine, in seconds:
	// the least that was seen, forgotten slowly.
	IdleStep float64
}

// idleStepGrowth is the factor by which the least step time seen is raised with
// each sample, so that an engine that got slower for good is noticed.
const idleStepGrowth = 1.001

// StepTime is the time in seconds that one output token of a request takes:
// Base + PerRequest * the requests that run beside it. A Base of zero means
// that nothing was learned.
type StepTime struct {
	Base       float64
	PerRequest float64
}

// Observation is what one answer tells of its engine's speed.
type Observation struct {
	// ComputedTokens of the prompt were not cached.
	ComputedTokens uint64
	// PrefillTime is the time to the first output less the expected queueing.
	PrefillTime  time.Duration
	OutputTokens uint64
	// DecodeTime is the time from the first to the last output.
	DecodeTime time.Duration
	// Running is the number of requests on the engine in that time, this one
	// included.
	Running int
}

// Speeds learns the speeds of engines: exponentially weighted averages of
// prefill and decode, and a regression of the step time on the number of
// requests.
type Speeds struct {
	mutex   sync.RWMutex
	engines map[string]*learnedSpeed
}

type learnedSpeed struct {
	speed Speed
	steps regression
}

// NewSpeeds makes an empty table.
func NewSpeeds() *Speeds {
	return &Speeds{engines: make(map[string]*learnedSpeed)}
}

// Observe adds one answer. Samples too short to measure are ignored.
func (s *Speeds) Observe(engine string, observation Observation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	learned, known := s.engines[engine]
	if !known {
		learned = &learnedSpeed{}
		s.engines[engine] = learned
	}
	speed := &learned.speed
	if observation.ComputedTokens >= minPrefillSample {
		speed.Prefill = average(speed.Prefill, observation.ComputedTokens, observation.PrefillTime)
	}
	if observation.OutputTokens < minDecodeSample || observation.DecodeTime <= 0 {
		return
	}
	speed.Decode = average(speed.Decode, observation.OutputTokens, observation.DecodeTime)
	step := observation.DecodeTime.Seconds() / float64(observation.OutputTokens)
	learned.steps.add(float64(observation.Running), step)
	speed.Step = learned.steps.fit()
	if speed.IdleStep == 0 || step < speed.IdleStep {
		speed.IdleStep = step
	} else {
		speed.IdleStep *= idleStepGrowth
	}
}

// Of returns what was learned of an engine.
func (s *Speeds) Of(engine string) Speed {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	learned, known := s.engines[engine]
	if !known {
		return Speed{}
	}
	return learned.speed
}

// Forget drops an engine that is gone.
func (s *Speeds) Forget(engine string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.engines, engine)
}

func average(old float64, tokens uint64, spent time.Duration) float64 {
	if spent <= 0 {
		return old
	}
	sample := float64(tokens) / spent.Seconds()
	if old == 0 {
		return sample
	}
	return old + speedGain*(sample-old)
}
